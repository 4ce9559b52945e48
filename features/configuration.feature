Feature: A configuration is in force everywhere or nowhere
  Operators put configurations through any control process. What is acknowledged is never lost.

  Background:
    Given a fleet of 3 control machines that tolerates the loss of 1

  Scenario: A change is acknowledged and in force on all machines
    When an operator puts version 2 on version 0
    Then the change is accepted
    And version 2 is in force on all machines within 1 second

  Scenario: Of two changes on one version one wins
    When two operators put version 5 on version 0 at the same time
    Then one change is accepted and one is in conflict

  Scenario: A change is sent again long after newer ones
    When an operator puts version 2 on version 0
    And an operator puts version 4 on version 2
    And the operator sends version 2 on version 0 again
    Then the change is accepted
    And version 4 is in force on all machines within 1 second

  Scenario: The leader loses its disk right after the acknowledgement while the others lose power
    When an operator puts version 2 on version 0
    And the leader loses its disk and the others lose power
    And all machines come back after 1 second
    Then version 2 is read within 4 seconds

  Scenario: A machine that is partitioned acknowledges nothing
    When the leader is partitioned
    And an operator puts version 2 on version 0 at the machine that is partitioned
    Then the outcome is not known
    And another machine leads within 3 seconds

  Scenario: A frozen leader that wakes up has been replaced
    When an operator puts version 2 on version 0
    And the leader freezes for 4 seconds
    Then another machine leads within 3 seconds
    When an operator puts version 3 on version 2
    And 5 seconds pass
    Then version 3 is read within 1 second
    And there is one leader

  Scenario: All machines are replaced one after the other
    When an operator puts version 2 on version 0
    And each machine is replaced by an empty one, 8 seconds apart
    Then version 2 is read within 2 seconds
