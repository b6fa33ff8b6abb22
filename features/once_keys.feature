Feature: Requests that run at most once
  A request with a once-key takes effect once, however often and through whichever proxy its caller
  sends it; a request without a key is never retried.  One case runs with the safeguard disabled.

  Background:
    Given back ends: proxy p1 with the shared members
    And once: proxy p2 with the same members

  Scenario Outline: A keyed request runs once: <case>, safeguard <safeguard>
    Given once: the safeguard "key" is <safeguard>
    When once: the answer to a keyed write <lost>, and the caller repeats it <again>
    Then once: the row exists <times> times, and the caller got a successful answer

    Examples:
      | case                          | lost                       | again                     | safeguard | times |
      | the answer came               | comes                      | through p1                | on        | 1     |
      | the answer came, other proxy  | comes                      | through p2                | on        | 1     |
      | the answer was lost           | is lost behind the commit  | through p2                | on        | 1     |
      | the answer was lost           | is lost behind the commit  | through p2                | off       | 2     |
      | lost twice                    | is lost behind the commit  | through p2 and then p1    | on        | 1     |
      | in a transaction              | of a transaction is lost   | in a transaction of p2    | on        | 1     |
      | sent by two proxies at once   | is not waited for          | through p2                | on        | 1     |

  Scenario: A keyed request runs once through a change of primary
    Given back ends: proxy p1 with separate members
    And once: proxy p2 with the same members
    When once: the answer to a keyed write is lost behind the commit, and member b is promoted
    And once: the caller repeats it through p2
    Then once: the row exists 1 times, and the caller got a successful answer

  Scenario Outline: A request without a key is never retried: <case>
    When once: the answer to a write without a key <lost>
    Then once: its outcome is unknown, and its row exists <times> times

    Examples:
      | case                    | lost                         | times |
      | cut behind the commit   | is lost behind the commit    | 1     |
      | cut before it executed  | is lost before it executes   | 0     |

  Scenario Outline: A key for another request is refused: <case>
    When once: a key is used for <first> and then for <second>
    Then once: the second is <verdict>

    Examples:
      | case                     | first                                    | second                                   | verdict  |
      | another text             | INSERT INTO note (text) VALUES ('a')     | INSERT INTO note (text) VALUES ('b')     | refused  |
      | the same request         | INSERT INTO note (text) VALUES ('a')     | INSERT INTO note (text) VALUES ('a')     | repeated |
      | a failed first attempt   | INSERT INTO nothing VALUES (1)           | INSERT INTO note (text) VALUES ('b')     | done     |

  Scenario Outline: A keyed request never gets the answer of another one: members <fault>
    When once: 8 keyed writes ask for their own number while member a does <fault>
    Then once: each request gets its own complete answer, or a code that says it did not run or is unknown

    Examples:
      | fault                       |
      | repeat the end of an answer |
      | cross two answers           |
