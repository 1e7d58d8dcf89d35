Feature: Calls to the leader of limits that are repeated

  # Guards against refunds that count twice: an entry repeats a call whose connection closes, and the leader that had handled it
  # already deducted the refunds again, so that it forgot as much of what had run.
  Scenario: Refunds of a call whose connection closes after the leader has handled it count once
    Given an entry that has run half of a workspace's limit, and was granted nearly as much that it didn't run
    When the call that refunds it is repeated, since its connection closes "after the leader has handled it"
    And the workspace sends 3 times its limit
    Then the workspace runs no more in any window than the tolerance allows

  # Guards against a repeated call without refunds: peers close connections that are idle, and the workspace would be refused what it
  # hasn't used.
  Scenario: Refunds of a call whose connection closes before the leader has handled it count
    Given an entry that has run half of a workspace's limit, and was granted nearly as much that it didn't run
    When the call that refunds it is repeated, since its connection closes "before the leader has handled it"
    And the workspace sends 3 times its limit
    Then the workspace runs no more in any window than the tolerance allows
    And the workspace runs its limit within a window
