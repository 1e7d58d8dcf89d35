Feature: Which engine holds which model

  Scenario: A busy model that nobody holds goes before rare ones that wait
    Given 2 engines with one free place each, and weights of no model on their disks
    When a rare model and a busy one are waited for
    Then the busy one is loaded first

  Scenario: The store is not used for a rare model while an engine has its weights
    Given 2 engines of which one is loading and has the weights of a rare model on its disk
    When the rare model is waited for
    Then nothing is moved

  Scenario: The last engine of a model that is asked for does not lose it to a second engine of another
    Given 2 full engines that hold different models, all asked for
    Then a model with more demand gets no second engine in their place

  Scenario: No move needs more memory than there is
    Then 300 random fleets get only moves that fit
