Feature: A configuration change takes effect on all machines or on none
  Operators submit configurations to any control process. An acknowledged change is never lost.

  Background:
    Given a fleet of 3 control machines that tolerates the loss of 1

  Scenario: An acknowledged change is in force on all machines
    When an operator puts version 2 based on version 0
    Then the change is accepted
    And version 2 is in force on all machines within 1 second

  Scenario: Of two concurrent changes based on one version one is accepted
    When two operators put version 5 based on version 0 at the same time
    Then one change is accepted and one is in conflict

  Scenario: A change that is sent again after a newer one is accepted and not applied again
    When an operator puts version 2 based on version 0
    And an operator puts version 4 based on version 2
    And the operator sends version 2 based on version 0 again
    Then the change is accepted
    And version 4 is in force on all machines within 1 second

  Scenario: An acknowledged change survives the loss of the leader's disk and a power loss of the others
    When an operator puts version 2 based on version 0
    And the leader loses its disk and the others lose power
    And all machines restart after 1 second
    Then version 2 is read within 4 seconds

  Scenario: A partitioned leader acknowledges no change
    When the leader is partitioned
    And an operator puts version 2 based on version 0 at the partitioned machine
    Then the outcome is not known
    And another machine leads within 3 seconds

  Scenario: A frozen leader is replaced, and there is one leader after it resumes
    When an operator puts version 2 based on version 0
    And the leader freezes for 4 seconds
    Then another machine leads within 3 seconds
    When an operator puts version 3 based on version 2
    And 5 seconds pass
    Then version 3 is read within 1 second
    And there is one leader

  Scenario: The configuration survives the replacement of all machines one by one
    When an operator puts version 2 based on version 0
    And each machine is replaced by an empty one at intervals of 8 seconds
    Then version 2 is read within 2 seconds
