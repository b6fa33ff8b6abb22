Feature: When a promoted member is recorded as the primary
  The leader's decisions on virtual time. Proxies ask members who leads; members announce themselves, also late.
  docs/design/promotion-claims.md describes the rules.

  # A member that was replaced while it could reach no controller was still recorded as a primary. When it was to be
  # promoted again it was taken for the primary at once, and reads there lacked commits that clients knew to be kept.
  Scenario Outline: claims: a member that led earlier is not the primary before it leads: <word>
    Given claims: a group whose primary a was replaced by b while it could not reach the controllers
    When claims: no proxy reaches b, and a is called
    And claims: <word>
    Then claims: no primary is recorded
    When claims: the call is answered
    And claims: <word>
    And claims: 400 ms pass
    Then claims: no primary is recorded
    When claims: a leads
    Then claims: a is recorded as the primary within 100 ms, and stays so for 10 s

    Examples:
      | word                                                                  |
      | nothing is heard of a                                                 |
      | what a announced as the primary arrives late                          |
      | what a announced as a replica, then as the primary, arrives late      |
      | a proxy tells what a said before the call                             |
      | a proxy tells that a says it leads an earlier term                    |
      | a proxy tells that a said in an earlier incarnation that it leads     |

  # A primary that cannot reach the controllers would otherwise be waited for, and replaced again and again.
  Scenario Outline: claims: a member that leads is recorded although no controller hears of it, as <proxies> tells so
    Given claims: a group whose primary a crashes
    And claims: only <proxies> reaches b
    When claims: b is called, and the call is answered
    And claims: b cannot reach the controllers, and b leads
    Then claims: b is recorded as the primary within 100 ms, and stays so for 4 s

    Examples:
      | proxies |
      | p       |
      | q       |
      | r       |

  # It was replaced the moment it was recorded, for its silence before, as no proxy had reported on it since.
  Scenario: claims: a member that no controller has heard for long is not doubted as it is recorded
    Given claims: a group whose member b cannot reach the controllers
    When claims: 8000 ms pass
    And claims: c withdraws, and a crashes
    And claims: b is called, and the call is answered
    And claims: b leads
    Then claims: b is recorded as the primary within 100 ms, and stays so for 10 s

  # The call for the other member was carried out after its successor had been recorded: it took the lead.
  Scenario Outline: claims: a member that leads is not recorded while a call for another one may be carried out: <before>
    Given claims: a group whose primary a crashes
    When claims: <before>
    And claims: no proxy reaches b, and c is called
    And claims: c leads
    And claims: 500 ms pass
    Then claims: no primary is recorded
    When claims: the call is answered
    And claims: 900 ms pass
    Then claims: no primary is recorded
    And claims: c is recorded as the primary within 300 ms, and stays so for 4 s

    Examples:
      | before                                                                     |
      | b is called, and the call is not answered                                  |
      | b is called, and the call is not answered, and another controller leads    |
      | b is called, and the call is answered, and another controller leads        |

  # Waiting for a call that can't be carried out any more would only lengthen the time without a primary.
  Scenario Outline: claims: a member is recorded as soon as it leads when <before>
    Given claims: a group whose primary a crashes
    When claims: <before>
    And claims: c is called, and the call is answered
    And claims: c leads
    Then claims: c is recorded as the primary within 100 ms, and stays so for 4 s

    Examples:
      | before                                                                  |
      | no proxy reaches b                                                      |
      | b is called, and the call is refused                                    |
      | no proxy reaches b, and c is called, and the call is not answered       |

  # The present primary gets no new term when it is called, so its term proves nothing; the order of events does.
  Scenario: claims: the present primary is recorded again once it says so after the call
    Given claims: a group whose primary a was replaced by b while it could not reach the controllers
    When claims: c withdraws
    And claims: no proxy reaches b, and a is called
    And claims: the call is refused, and the proxies reach b again
    And claims: b is called, and the call is answered
    Then claims: b is recorded as the primary within 100 ms, and stays so for 4 s

  # The present primary's claim was true, and a call for another member was about to end its lead.
  Scenario: claims: the present primary is not recorded again while a call for another one may be carried out
    Given claims: a group whose primary a was replaced by b while it could not reach the controllers
    When claims: c withdraws
    And claims: no proxy reaches b, and a is called
    And claims: the call is not answered, and the proxies reach b again
    And claims: a drains
    And claims: b is called, and the call is answered
    And claims: 900 ms pass
    Then claims: no primary is recorded
    And claims: b is recorded as the primary within 300 ms, and stays so for 4 s

  # The lead ended while the answer to the question was under way.
  Scenario: claims: an answer that arrives after the next grant is not used
    Given claims: a group whose primary a crashes
    When claims: b is called, and the call is answered
    And claims: reports of claims travel for 4 s, and b leads
    And claims: 4500 ms pass
    Then claims: no primary is recorded

  # Controllers are replaced one at a time, as are proxies: an earlier version answers no such query.
  Scenario Outline: claims: with proxies of an earlier version a member is recorded once <word>
    Given claims: a group whose primary a crashes, before proxies of an earlier version
    When claims: b is called, and the call is answered
    And claims: 400 ms pass
    Then claims: no primary is recorded
    When claims: <word>
    Then claims: b is recorded as the primary within <ms> ms, and stays so for 4 s

    Examples: the next query to a proxy that has just connected is due within 500 ms
      | word                                     | ms  |
      | b announces that it leads                | 100 |
      | p is of the present version, and b leads | 600 |

  # A claim in the log dates from whatever moment; a new leader has not heard it.
  Scenario: claims: a new leader replaces no primary by what earlier leaders were told
    Given claims: a group whose primary a was replaced by b while it could not reach the controllers
    And claims: b has not announced that it leads
    When claims: another controller leads, and hears nobody
    And claims: 900 ms pass
    Then claims: b is still the recorded primary

  # Commits wait for replicas: the holds on which the choice rests ended with an early record.
  Scenario: claims: replicas stay held until the promoted member leads
    Given claims: a group whose commits wait for a replica, and whose primary a crashes
    When claims: a replica is called, and the call is answered
    And claims: what it announced as the primary arrives late
    And claims: 400 ms pass
    Then claims: no primary is recorded
    And claims: the other replica is held
    When claims: the called replica leads
    Then claims: it is recorded as the primary within 100 ms, and stays so for 4 s
    And claims: no replica is held

  # A group that finds no primary for long calls again and again.
  Scenario Outline: claims: outstanding calls after <calls>
    Given claims: no call was made
    When claims, calls: <calls>
    Then claims: calls for others than <member> end at <end>

    Examples: each call with its member and fencing number; accepted ones may be carried out until second 5
      | calls                                       | member | end   |
      | nothing                                     | a      | 0     |
      | a 1                                         | a      | 0     |
      | a 1                                         | b      | never |
      | a 1, 1 refused                              | b      | 0     |
      | a 1, 1 accepted                             | b      | 5     |
      | a 1, b 2                                    | b      | never |
      | a 1, b 2, 2 accepted                        | b      | 5     |
      | a 1, b 2, 1 accepted                        | b      | 5     |
      | a 1, b 2, 1 accepted                        | a      | never |
      | a 1, a 2, 2 refused                         | b      | never |
      | a 1, a 2, a 3, a 4, 4 refused               | b      | never |
      | a 1, 1 refused, b 2                         | b      | 0     |
      | a 1, b 2, 2 refused                         | b      | never |
      | a 1, b 2, 2 accepted, a primary is recorded | c      | 0     |
      | another leader, a 1                         | a      | never |
      | another leader, a 1, 1 accepted             | a      | 5     |
