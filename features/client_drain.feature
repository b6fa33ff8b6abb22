Feature: client: a planned stop completes running requests and refuses later ones with a code

  Scenario Outline: client: a driver, <state> when the stop is requested
    Given client: a proxy of its own with a driver that is <state>
    When client: the stop is requested
    Then client: the driver's work ends with <work>
    And client: its next statement gets <next>
    And client: the proxy exits with 0

    Examples:
      | state                         | work       | next   |
      | idle                          | nothing    | LD3006 |
      | idle over TLS                 | nothing    | LD3006 |
      | running a read                | its row    | LD3006 |
      | running a write               | INSERT 0 1 | LD3006 |
      | in a transaction              | COMMIT     | LD3006 |
      | in a failed transaction       | ROLLBACK   | LD3006 |
      | running in a transaction      | COMMIT     | LD3006 |

  Scenario: client: no new client is accepted during a stop
    Given client: a proxy of its own with a driver that is running a read
    When client: the stop is requested
    Then client: a new connection is refused or not accepted
    And client: the driver's work ends with its row
    And client: the proxy exits with 0

  Scenario: client: a login under way is refused when the stop is requested
    Given client: a proxy of its own with a connection in the middle of its login
    When client: the stop is requested
    Then client: it is refused with 57P01 and LD3006
    And client: the proxy exits with 0

  Scenario: client: work of other proxies is refused before the controllers revoke the leases
    When client: a proxy without clients is drained
    Then client: it refuses new work, tells the controllers, drains its back ends, tells the controllers

  Scenario Outline: client: work that is aborted at the deadline gets the code of its outcome: <state>
    Given client: a proxy of its own with a driver that is <state>
    When client: the stop is requested
    Then client: the driver's work fails with <code>
    And client: the proxy exits with 1

    Examples:
      | state                             | code   |
      | running a read forever            | LD3008 |
      | running a write forever           | LD3001 |
      | running in a transaction forever  | LD2004 |
      | running a batch that commits forever | LD3001 |

  Scenario: client: work that does not end is aborted at the deadline, with a code
    Given client: a proxy of its own with a driver that is running forever
    When client: the stop is requested
    Then client: the driver's work ends with LD3006 or a lost connection
    And client: the proxy exits with 1
