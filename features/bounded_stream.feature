Feature: Logging never blocks, and the metrics are documented

  Scenario: bounded stream: a reader that does not read
    Given bounded stream: a pipe that nobody reads
    When bounded stream: 20000 lines of 100 bytes are written
    Then bounded stream: the writes took less than 2 s, and lines were dropped
    When bounded stream: the pipe is read and one more line is written
    Then bounded stream: the reader receives the number of dropped lines, and complete lines only

  Scenario: bounded stream: a reader that has closed the pipe
    Given bounded stream: a pipe that nobody reads
    When bounded stream: the reader closes the pipe
    And bounded stream: 10 lines of 100 bytes are written
    Then bounded stream: all lines were dropped

  Scenario: metrics: the metrics page lists the statement metrics of a proxy
    Then metrics: docs/METRICS.md lists each metric of statements, and no other
