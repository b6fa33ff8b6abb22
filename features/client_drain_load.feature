Feature: client: a planned stop under load, and with its safeguards disabled

  Scenario Outline: client: a driver without a pause gets complete answers and one refusal, round <round>
    Given client: a proxy of its own with 8 drivers that never pause
    When client: the stop is requested
    Then client: each driver got complete answers, and then LD3006 that says it did not run
    And client: the proxy exits with 0

    Examples:
      | round |
      | 1     |
      | 2     |
      | 3     |

  Scenario: client: requests that arrived but were not read yet are answered
    Given client: a proxy of its own with 20 idle connections
    When client: the proxy is frozen, each sends a request, the stop is requested and it resumes
    Then client: each of them gets its answer or LD3006, and none only a closed connection
    And client: the proxy exits with 0

  Scenario Outline: client: with the safeguard "<safeguard>" disabled, the same stop loses work
    Given client: a proxy of its own, "<safeguard>" off, with a driver that is <state>
    When client: the stop is requested
    Then client: the driver's work or its next statement is lost without an error code

    Examples:
      | safeguard         | state          |
      | wait for work     | running a read |
      | quiet before end  | running a read |
