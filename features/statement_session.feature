Feature: A client's session of statements
  The session answers statements that need no member, and tells which need one.

  Scenario Outline: statement session: <asked>
    Given statement session: consistency <consistency>
    When statement session: a client asks "<asked>"
    Then statement session: the outcomes are "<outcomes>"

    Examples: outside a transaction
      | consistency | asked                          | outcomes                           |
      | session     | read                           | run-any                            |
      | bounded     | read                           | run-any                            |
      | primary     | read                           | run-primary                        |
      | session     | write                          | run-primary                        |
      | session     | set, read                      | done, run-any                      |
      | session     | prepare r, execute             | done, run-any                      |
      | session     | prepare w, execute             | done, run-primary                  |
      | session     | execute                        | LD2006                             |
      | session     | deallocate                     | LD2006                             |
      | session     | prepare r, deallocate, execute | done, done, LD2006                 |
      | session     | prepare r, prepare w, execute  | done, done, run-primary            |
      | session     | commit                         | LD1001                             |
      | session     | rollback                       | LD1001                             |

    Examples: transactions begin at a member with their first statement
      | consistency | asked                              | outcomes                             |
      | session     | begin, rollback                    | done, done                           |
      | session     | begin, commit                      | done, run-primary                    |
      | session     | begin-read, commit                 | done, run-any                        |
      | session     | begin, read, write, commit         | done, run-primary, run-pinned, run-pinned |
      | session     | begin-read, read, read, commit     | done, run-any, run-pinned, run-pinned |
      | primary     | begin-read, read                   | done, run-primary                    |
      | session     | begin, read, rollback, read        | done, run-primary, end, run-any      |
      | session     | begin, begin                       | done, LD1001                         |
      | session     | begin, set, read                   | done, done, run-primary              |

    Examples: a failed transaction must be ended first
      | consistency | asked                              | outcomes                             |
      | session     | begin, read, fail, read            | done, run-primary, failed, LD1001    |
      | session     | begin, read, fail, commit, read    | done, run-primary, failed, LD2004, run-any |
      | session     | begin, read, fail, rollback, read  | done, run-primary, failed, done, run-any |
      | session     | begin, read, fail, set             | done, run-primary, failed, LD1001    |

  Scenario: statement session: the written position only increases
    Given statement session: consistency session
    When statement session: it has written up to 3.12, then 3.9, then 4.2
    Then statement session: it must see 4.2
