@fleet
Feature: The product on real processes
  Three controllers, three proxies and three groups of members; clients are psycopg connections.

  Scenario Outline: fleet: the demonstration holds in <geography>
    When fleet: the demonstration runs in "<geography>" with 8 seconds of load
    Then fleet: it exits with code 0
    And fleet: it reports more than 300 statements and a failover gap
    And fleet: it reports 0 stale_reads, lost_acknowledged_writes, mixed_answers and violations

    Examples:
      | geography  |
      | ostmark    |
      | cold-chain |

  Scenario: fleet: a request sent again under its key through another proxy runs once
    Given fleet: a fleet without delays
    When fleet: a keyed insert is sent through proxy-1 and again through proxy-2
    Then fleet: the second response is marked as a repetition of the first
    And fleet: the primary holds the row once
