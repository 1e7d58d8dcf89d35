/**
 * Reads the requests that arrive on one channel of a replica.
 */

/** Calls back with each whole request: its head in lower-case names, and the text of its body. */
export const readRequests = (socket, onRequest) => {
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		let request = takeRequest(text);
		while (request) {
			text = text.slice(request.length);
			onRequest(request);
			request = takeRequest(text);
		}
	});
	socket.on('error', () => undefined);
};

const takeRequest = text => {
	const headEnd = text.indexOf('\r\n\r\n');
	if (headEnd === -1) {
		return undefined;
	}

	const [line, ...fields] = text.slice(0, headEnd).split('\r\n');
	const headers = Object.fromEntries(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]));
	const length = headEnd + 4 + Number(headers['content-length'] ?? 0);
	const [method, path] = line.split(' ');
	return text.length < length
		? undefined
		: {
			method, path, headers, body: text.slice(headEnd + 4, length), length,
		};
};

/** Formats an answer with a length. */
export const formatAnswer = (status, reason, headers, body) =>
	`HTTP/1.1 ${status} ${reason}\r\n${Object.entries({...headers, 'Content-Length': body.length}).map(([name, value]) => `${name}: ${value}`).join('\r\n')}\r\n\r\n${body}`;
