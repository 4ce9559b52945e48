Feature: Every router knows which workers take requests
  Workers send heartbeats to any control process. A worker that leaves is acknowledged once its announcement can't be lost.

  Background:
    Given a fleet of 3 control machines that tolerates the loss of 1

  Scenario: A worker drains
    When worker i-1 reports at machine 2 that it drains
    Then the announcement is acknowledged within 1 second
    And all machines know that i-1 drains

  Scenario: A machine dies right after it acknowledged a drain
    When worker i-1 reports at machine 2 that it drains
    Then the announcement is acknowledged within 1 second
    When machine 2 is killed
    Then all machines know that i-1 drains

  Scenario: A late heartbeat does not undo a drain
    When worker i-1 reports at machine 2 that it drains
    And a heartbeat of worker i-1 from before comes late at machine 3
    And 1 second passes
    Then all machines know that i-1 drains

  Scenario: All control processes are killed and workers are known again by their heartbeats
    When worker i-1 reports at machine 2 that it is ready
    And all machines are killed and come back after 1 second
    And worker i-1 reports at machine 1 that it is ready
    And 1 second passes
    Then all machines know that i-1 is ready
