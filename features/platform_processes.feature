@fleet
Feature: The platform's programs as real processes
  Three controllers and two proxies on loopback; stand-ins for members, operator and authority.

  Scenario: platform: configuration, loss of the primary and loss of a controller
    Given platform: all processes started empty
    Then platform: no proxy is ready for 3 s, as nothing is declared
    And platform: a configuration with the database "db1" is acknowledged within 8 s
    And platform: every proxy is ready within 5 s
    When platform: a client at the first proxy opens "db1"
    Then platform: it sends "WRITE x 1" and receives "done I" within 5 s
    And platform: it sends "READ x" and receives "1 done I" within 1 s
    And platform: a client at the second proxy reads "1" from x within 3 s
    When platform: the primary crashes
    Then platform: it sends "WRITE x 2" and receives "done I" within 8 s
    And platform: one member was promoted
    When platform: the first controller is killed
    Then platform: a configuration with the database "db2" is acknowledged within 8 s
    And platform: a session at "db2" opens within 4 s
    And platform: an older version is acknowledged and changes nothing
    And platform: an invalid configuration is refused
    When platform: the second proxy is killed and started again
    Then platform: every proxy is ready within 8 s
    And platform: a client at the second proxy reads "2" from x within 3 s
    When platform: the second proxy is killed and started again
    Then platform: a client connects to the second proxy before it is loaded
    And platform: that client's session at "db1" opens within 8 s

  Scenario Outline: platform: a process that starts while its settings file is <state> waits for the rest: <program>
  A settings file that is being rewritten is empty or half written for a moment. A controller that started just then
  exited with status 1: "Invalid JSON: EOF while parsing a value at line 1 column 0", "event=failed".
    Given platform: all processes started empty
    Then platform: a configuration with the database "db1" is acknowledged within 8 s
    When platform: the <program> is killed, and started while its settings are <state>
    And platform: the settings are whole 1500 ms later
    Then platform: the <program> has not ended
    And platform: a configuration with the database "db2" is acknowledged within 8 s
    And platform: every proxy is ready within 8 s

    Examples:
      | program          | state        |
      | first controller | empty        |
      | first controller | half written |
      | second proxy     | half written |

  Scenario: platform: a process with an invalid settings file exits and logs the reason
    Given platform: all processes started empty
    When platform: the second proxy is killed, and started while its settings are half written
    Then platform: the second proxy exits with status 1 within 6 s and logs "validation error for NodeFile"

  Scenario Outline: platform: the primary restarts empty under its identity and address, and <says>
    Given platform: all processes started empty
    Then platform: a configuration with the database "db1" is acknowledged within 8 s
    And platform: every proxy is ready within 5 s
    When platform: a client at the first proxy opens "db1"
    Then platform: it sends "WRITE x 1" and receives "done I" within 5 s
    When platform: the primary restarts empty, and <says>
    Then platform: a client that reads x for 4 s receives "1 done I" or a refusal, and "1 done I" at the end
    And platform: one member was promoted
    And platform: it sends "WRITE x 2" and receives "done I" within 2 s

    Examples:
      | says                 |
      | says that it leads   |
      | says that it follows |

  Scenario: platform: malformed member records are refused, and service continues
    Given platform: all processes started empty
    Then platform: a configuration with the database "db1" is acknowledged within 8 s
    And platform: every proxy is ready within 5 s
    When platform: each controller receives 20 malformed member records of each kind
    Then platform: all of them were refused with 400
    And platform: no process has ended
    When platform: a client at the first proxy opens "db1"
    Then platform: it sends "WRITE x 1" and receives "done I" within 2 s
