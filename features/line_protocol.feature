Feature: The platform's line protocol
  Text is passed on byte for byte, and invalid input from a peer ends only that peer's session.

  Scenario Outline: line protocol: a client sends <sent>
    When line protocol: a client sends "<sent>"
    Then line protocol: the proxy reads "<taken>"

    Examples: accepted lines
      | sent                                | taken                                  |
      | START db u1\r\n                     | session db                             |
      | START db\r\n                        | session db                             |
      | QUERY 1a READ x\r\n                 | read 1a READ x                         |
      | QUERY 1a READ a  b \r\n             | read 1a READ a  b                      |
      | QUERY 1a WRITE x some data\r\n      | write 1a WRITE x some data             |
      | QUERY 1a WRITE x\r\n                | write 1a WRITE x                       |
      | QUERY 1a BEGIN\r\n                  | begin 1a BEGIN                         |
      | QUERY 1a BEGIN READ\r\n             | begin-read 1a BEGIN READ               |
      | QUERY 1a COMMIT\r\n                 | commit 1a COMMIT                       |
      | QUERY 1a ROLLBACK\r\n               | rollback 1a ROLLBACK                   |
      | QUERY 1a SET n v w\r\n              | set 1a SET n v w                       |
      | QUERY 1a PREPARE s READ q\r\n       | prepare 1a PREPARE s READ q            |
      | QUERY 1a EXECUTE s x\r\n            | execute 1a EXECUTE s x                 |
      | QUERY 1a DEALLOC s\r\n              | deallocate 1a DEALLOC s                |
      | TERMINATE\r\n                       | end                                    |
      | QUERY 1 READ x\r\nQUERY 2 READ y\r\n | read 1 READ x, read 2 READ y          |
      | QUERY 1 RE                          | nothing                                |

    Examples: refused lines
      | sent                                | taken                                  |
      | QUERY 1a DROP x\r\n                 | malformed                              |
      | QUERY 1a WAITLSN 3.1 READ x\r\n     | malformed                              |
      | QUERY 1a BEGIN WRITE\r\n            | malformed                              |
      | QUERY 1a COMMIT now\r\n             | malformed                              |
      | QUERY 1a READ\r\n                   | malformed                              |
      | QUERY 1a PREPARE s MAYBE q\r\n      | malformed                              |
      | QUERY 1a PREPARE s READ\r\n         | malformed                              |
      | QUERY 1a\r\n                        | malformed                              |
      | START\r\n                           | malformed                              |
      | \r\n                                | malformed                              |
      | HELO\r\n                            | malformed                              |
      | GET / HTTP/1.1\r\n                  | malformed                              |

  Scenario: line protocol: a stream gives the same events wherever it is split
    Then line protocol: "START db u\r\nQUERY 1 READ x\r\nTERMINATE\r\n" gives the same events wherever it is split

  Scenario: line protocol: every byte passes
    Then line protocol: a write of all bytes but CR and LF reaches a member unchanged

  Scenario Outline: line protocol: a line of <size> bytes
    When line protocol: a client sends a line of <size> bytes
    Then line protocol: it is <outcome>

    Examples:
      | size    | outcome |
      | 1048576 | taken   |
      | 1048577 | refused |

  Scenario: line protocol: a line without an end is refused at the limit
    When line protocol: a client sends 1048600 bytes without an end
    Then line protocol: it is refused

  Scenario Outline: line protocol: the word for result code <code>
    Then line protocol: result code <code> is sent as <word>

    Examples: words that mean that nothing was stored
      | code | word    |
      | 3002 | BUSY    |
      | 3003 | BUSY    |
      | 3004 | BUSY    |
      | 3005 | BUSY    |
      | 2004 | ABORTED |
      | 2005 | ABORTED |
      | 3014 | LAGGING |

    Examples: other words
      | code | word      |
      | 3001 | INDOUBT   |
      | 3007 | INDOUBT   |
      | 3012 | TIMEOUT   |
      | 3013 | FAILED    |
      | 3011 | FAILED    |
      | 5005 | INDOUBT   |
      | 1001 | MALFORMED |
      | 1009 | NODB      |
      | 2006 | NOSTMT    |

  Scenario: line protocol: words that mean that the request did not run are reserved for such codes
    Then line protocol: only codes with the outcome did-not-run map to words that mean so

  Scenario Outline: line protocol: a member answers <sent>
    When line protocol: a member answers "<sent>"
    Then line protocol: the answer is "<answer>"

    Examples:
      | sent                                          | answer                        |
      | READY I 3.12\r\n                              | done I 3.12                   |
      | DATAROW r\r\nCOMPLETE s\r\nREADY I 3.12\r\n   | done I 3.12 rows r            |
      | DATAROW a\r\nDATAROW b\r\nCOMPLETE s\r\nREADY T -\r\n | done T - rows a b     |
      | ERROR BUSY full\r\nREADY I 3.12\r\n           | busy I 3.12                   |
      | ERROR READONLY i-1\r\nREADY E 3.9\r\n         | not-primary E 3.9             |
      | ERROR LAGGING -\r\nREADY I 3.9\r\n            | behind I 3.9                  |
      | ERROR FAILED x\r\nREADY I 3.9\r\n             | failed I 3.9                  |
      | ERROR TIMEOUT x\r\nREADY I 3.9\r\n            | timed-out I 3.9               |
      | ERROR NEWWORD x\r\nREADY I 3.9\r\n            | failed I 3.9                  |

  Scenario Outline: line protocol: a member refuses the connection with <word>
    When line protocol: a member answers the opening with "ERROR <word> i-1\r\n"
    Then line protocol: the answer is "<kind> I -"

    Examples:
      | word      | kind          |
      | MAXCONN   | no-connection |
      | WRONGNODE | wrong-member  |

  Scenario: line protocol: a status row
    When line protocol: a member answers "DATAROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n"
    Then line protocol: its status is a replica in term 3 that received 3.1209, 12 ms behind

  Scenario: line protocol: an invalid line from a member
    Then line protocol: a member's "WHAT is this\r\n" is an error
