Feature: A process that resumes after a pause carries out no statement whose time is over
  A home proxy that was paused finds statements in its receive buffers whose senders have given up on them. A COMMIT
  that it carried out then would follow, and undo, what the same session has written and been told of meanwhile.

  Scenario Outline: late statements: a home proxy pauses before it receives <asked>
    Given statement homes: a session database, home proxies h1 in z2, h2 in z3
    And statement homes: links to all home proxies are open
    When statement path: the client asks "WRITE y 1" and is told "done I"
    And late statements: the client has begun <transaction>
    And late statements: h1 pauses for 2000 ms
    And statement path: the client asks "<asked>" and is told "INDOUBT I"
    And statement path: another client asks "WRITE x new" and is told "done I"
    And statement path: 2000 ms pass
    Then late statements: no member committed "old"
    And statement homes: no connection is in use at h1
    When statement path: another client asks "READ x" and is told "new done I"

    Examples:
      | asked       | transaction                    |
      | COMMIT      | a transaction that wrote old   |
      | WRITE x old | no transaction                 |

  Scenario Outline: late statements: a process pauses for <pause> ms between <what> and sending
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And late statements: answers of a travel 100 ms
    When statement path: the process will pause for <pause> ms, in 50 ms
    And late statements: the client asks "<first>", then "<asked>"
    And statement path: 300 ms pass
    Then late statements: the last answer is "<told>", and a ran "<asked>" <times> times

    Examples:
      | what                            | first | asked     | pause | told      | times |
      | the beginning of a transaction  | BEGIN | WRITE x 1 | 1000  | ABORTED E | 0     |
      | the beginning of a transaction  | BEGIN | WRITE x 1 | 200   | done T    | 1     |

  Scenario Outline: late statements: a process pauses for 1000 ms just before it sends "<asked>" to the member
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    And late statements: the client has begun <transaction>
    When late statements: the process pauses for 1000 ms before the next statement is sent to a
    And statement path: the client asks "<asked>" and is told "<told>"
    And statement path: 100 ms pass
    Then late statements: no member committed "old"
    When statement path: the client asks "WRITE x new" and is told "done I"

    Examples:
      | asked       | transaction                    | told      |
      | COMMIT      | a transaction that wrote old   | ABORTED I |
      | WRITE x old | no transaction                 | BUSY I    |

  Scenario Outline: late statements: a unit of PostgreSQL that arrives <delay> ms late is <fate>
    Given late statements: a link over which units with 10000 ms arrive, the first without delay
    When late statements: a unit arrives that has been on its way for <delay> ms longer
    Then late statements: it has <left> ms left

    Examples:
      | delay | left  | fate                                                      |
      | 0     | 10000 | run                                                       |
      | 400   | 9600  | run                                                       |
      | 1400  | 8600  | run                                                       |
      | 1550  | 0     | refused: its sender has closed the link for silence       |

  Scenario Outline: late statements: messages sent at <sent> by another clock arrive at <arrived>
    Then late statements: messages sent at <sent> that arrive at <arrived> have delays of <delays> ms

    Examples:
      | sent            | arrived             | delays      |
      | 5               | 1000                | 0           |
      | 5, 6, 7         | 1000, 1001, 1002    | 0, 0, 0     |
      | 5, 6, 7         | 1000, 1003, 1003    | 0, 2000, 1000 |
      | 6, 7            | 1002, 1002          | 0, 0        |
      | 5, 305          | 1000, 1302          | 0, 2000     |
      | 5, 16, 27, 38   | 1000, 1013, 1024, 1035 | 0, 2000, 0, 0 |
