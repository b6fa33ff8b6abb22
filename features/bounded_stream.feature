Feature: Logs never block, and figures have the names that the page gives

  Scenario: bounded stream: a reader that does not read
    Given bounded stream: a pipe that nobody reads
    When bounded stream: 20000 lines of 100 bytes are written
    Then bounded stream: that took less than 2 s, and lines were dropped
    When bounded stream: the pipe is read and one more line is written
    Then bounded stream: the reader learns how many were dropped, and gets whole lines only

  Scenario: bounded stream: a reader that has gone
    Given bounded stream: a pipe that nobody reads
    When bounded stream: the reader goes away
    And bounded stream: 10 lines of 100 bytes are written
    Then bounded stream: all were dropped

  Scenario: metrics: the page names what a proxy for sessions of statements shows
    Then metrics: docs/METRICS.md lists each metric of statements, and no other
