Feature: What a stopping proxy accepts and answers, in one process
  Until 0.4 of the time everything is accepted, until 0.7 only single statements; at 0.85 answers are due.

  Scenario Outline: statement stop: <statement> at <share> of the time is <verdict>
    Given statement stop: a stop of 10 s that begins at 100 s
    Then statement stop: at <moment> s <statement> is <verdict>

    Examples:
      | statement | share | moment | verdict |
      | READ x    | 0.00  | 100.0  | taken   |
      | BEGIN     | 0.39  | 103.9  | taken   |
      | BEGIN     | 0.41  | 104.1  | refused |
      | BEGIN READ | 0.41 | 104.1  | refused |
      | SET a b   | 0.41  | 104.1  | taken   |
      | WRITE x 1 | 0.69  | 106.9  | taken   |
      | WRITE x 1 | 0.71  | 107.1  | refused |
      | READ x    | 0.71  | 107.1  | refused |

  Scenario Outline: statement stop: a statement of <timeout> ms accepted <late> ms before answers are due may take <time> ms
    Then statement stop: a statement of <timeout> ms accepted <late> ms before answers are due may take <time> ms

    Examples:
      | timeout | late | time |
      | 800     | 2000 | 800  |
      | 800     | 300  | 300  |
      | 800     | -10  | 0    |

  Scenario Outline: statement stop: "<statement>" that runs when answers are due is answered "<told>"
    Given statement stop: a session database on primary a, and statements of 20 s
    And statement stop: a transaction is <transaction>
    When statement stop: <state>, the client asks "<statement>", and the proxy stops within 2 s
    Then statement stop: it is told "<told>" when answers are due
    And statement stop: the proxy has left service within 2 s

    Examples: sent, and not answered
      | statement | transaction | state                      | told       |
      | READ x    | none        | members answer after 5 s   | FAILED I   |
      | WRITE x 1 | none        | members answer after 5 s   | INDOUBT I  |
      | WRITE x 2 | open        | members answer after 5 s   | ABORTED E  |
      | COMMIT    | open        | members answer after 5 s   | INDOUBT I  |

    Examples: not sent
      | statement | transaction | state                      | told       |
      | READ x    | none        | no home proxy is reached   | BUSY I     |
      | WRITE x 1 | none        | no home proxy is reached   | BUSY I     |

  Scenario: statement stop: a statement that waits for a connection is answered before the proxy ends
    Given statement stop: a session database on primary a, and statements of 20 s
    And statement stop: a client with an open transaction, which delays the end
    When statement stop: all connections are in use, the client asks "WRITE x 1", and the proxy stops within 2 s
    Then statement stop: it is told "done I" before answers are due
    And statement stop: the proxy has left service within 2 s

  Scenario: statement stop: an idle session is told that it is over, and a statement in flight did not run
    Given statement stop: a session database on primary a
    And statement stop: the proxy stops within 2 s
    When statement stop: idle sessions are due to end
    And statement path: 400 ms pass
    And statement stop: the client, which has not read anything yet, asks "WRITE x 1"
    Then statement stop: it is told "BUSY I" with LD3006
    And statement path: "WRITE x 1" ran nowhere

  Scenario Outline: statement stop: a client that is held up for <hold> ms before it sends, <when>, is answered
  A client checks that its session is still open, is held up by a busy machine, and sends. The session had been ended
  meanwhile, and its connection closed after 0.5 s of silence, though the process went on for longer.
    Given statement stop: a session database on primary a
    And statement stop: a client with an open transaction, which delays the end
    And statement stop: the proxy stops within 4 s
    When statement stop: the client asks "READ x" repeatedly until the answer is not "- done I"
    And statement path: <hold> ms pass
    And statement stop: the client, which has not read anything yet, asks "WRITE x 1"
    Then statement stop: it is told "BUSY I" with LD3006
    And statement path: "WRITE x 1" ran nowhere

    Examples:
      | hold | when                                 |
      | 300  | within the usual silence             |
      | 650  | after it, before the process ends    |

  Scenario: statement stop: a client that took the end of its session for a refused statement is told twice
  5 requests on 30 days of overlapping stops got no answer, as their connections closed 5 to 33 ms after they were sent.
  An earlier statement had been in flight at the end of the session and was refused; 0.5 s later the connection was
  closed without another message.
    Given statement stop: a session database on primary a
    And statement stop: the proxy stops within 4 s
    When statement stop: idle sessions are due to end
    And statement path: 400 ms pass
    And statement stop: the client, which has not read anything yet, asks "WRITE x 1"
    Then statement stop: it is told "BUSY I" with LD3006
    When statement path: 700 ms pass
    And statement stop: the client, which has not read anything yet, asks "WRITE x 2"
    Then statement stop: it is told "BUSY I" with LD3006
    And statement path: "WRITE x 2" ran nowhere

  Scenario: statement stop: a session that goes on asking is served until statements are taken no more
    Given statement stop: a session database on primary a
    And statement stop: the proxy stops within 2 s
    When statement stop: the client asks "READ x" repeatedly until the answer is not "- done I"
    Then statement stop: that was "BUSY I" with LD3006, when statements were no longer accepted
    And statement stop: the proxy has left service within 2 s

  Scenario: statement stop: no transaction begins that could not end
    Given statement stop: a session database on primary a
    And statement stop: the proxy stops within 2 s
    When statement stop: the client asks repeatedly until no transaction may begin
    And statement path: the client asks "BEGIN" and is told "BUSY I"
    And statement path: the client asks "READ x" and is told "- done I"

  Scenario: statement stop: an idle transaction is rolled back, and the next statement reports it
    Given statement stop: a session database on primary a
    When statement path: the client asks "BEGIN" and is told "done T"
    And statement path: the client asks "WRITE x 1" and is told "done T"
    And statement stop: the proxy stops within 2 s
    And statement stop: statements are no longer accepted
    And statement path: 150 ms pass
    And statement path: the client asks "WRITE x 2" and is told "ABORTED E"
    And statement path: the client asks "READ x" and is told "MALFORMED E"
    And statement path: the client asks "ROLLBACK" and is told "done I"
    Then statement path: "WRITE x 2" ran nowhere

  Scenario: statement stop: no session opens when statements are no longer accepted
    Given statement stop: a session database on primary a
    And statement stop: a client with an open transaction, which delays the end
    And statement stop: the proxy stops within 2 s
    When statement stop: statements are no longer accepted
    Then statement stop: a further session is told "BUSY"

  Scenario: statement stop: a proxy without clients ends when the platform sends it no more clients
    Given statement stop: a session database on primary a
    When statement path: the client disconnects
    And statement stop: the proxy stops within 2 s
    Then statement stop: it has left service after 800 to 1000 ms
