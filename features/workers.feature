Feature: All control machines agree on which workers accept requests
  Workers send heartbeats to any control process. The drain of a worker is acknowledged once it can no longer be lost.

  Background:
    Given a fleet of 3 control machines that tolerates the loss of 1

  Scenario: A draining worker is listed as draining on all machines
    When worker i-1 reports at machine 2 that it drains
    Then the announcement is acknowledged within 1 second
    And all machines list i-1 as draining

  Scenario: An acknowledged drain survives the crash of the machine that acknowledged it
    When worker i-1 reports at machine 2 that it drains
    Then the announcement is acknowledged within 1 second
    When machine 2 is killed
    Then all machines list i-1 as draining

  Scenario: A delayed heartbeat does not undo a drain
    When worker i-1 reports at machine 2 that it drains
    And an earlier heartbeat of worker i-1 arrives late at machine 3
    And 1 second passes
    Then all machines list i-1 as draining

  Scenario: Heartbeats restore the list of workers after all control processes were killed
    When worker i-1 reports at machine 2 that it is ready
    And all machines are killed and restart after 1 second
    And 1 second passes
    And worker i-1 reports at machine 1 that it is ready
    And 1 second passes
    Then all machines list i-1 as ready
