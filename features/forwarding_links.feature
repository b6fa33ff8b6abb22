Feature: Forwarding links of a proxy whose clients use all groups are closed when idle
  A proxy may have links to hundreds of others. Idle links are closed after a time and above a
  limit, but never a busy one, and they cost no processor time while they are open.

  Scenario Outline: A link that is idle for its time is closed, one with work is not: <work>, safeguard <safeguard>
    Given links: a proxy that closes links idle for <limit_ms> ms, and home proxies p1 to p1
    And links: the safeguard "work keeps a link open" is <safeguard>
    When links: the link to p1 has <work> for longer than that
    Then links: the link to p1 is <state>
    And links: the caller is told <told>

    Examples:
      | work                | safeguard | limit_ms | state  | told |
      | nothing             | on        | 100      | closed | done |
      | nothing             | on        | 3600000  | open   | done |
      | a write             | on        | 100      | open   | done |
      | an open transaction | on        | 100      | open   | done |
      | a write             | off       | 100      | closed | 3001 |
      | an open transaction | off       | 100      | closed | 2004 |

  Scenario Outline: The least recently used idle link is closed when there are too many: <busy> busy, limit <limit>
    Given links: a proxy that keeps <limit> links, and home proxies p1 to p4
    And links: links used less than <recent_s> s ago stay
    And links: the safeguard "work keeps a link open" is <safeguard>
    When links: p1, p2, p3 are used in this order, with a write running on <busy>
    And links: p4 is used
    Then links: the links open are <open>
    And links: running writes are told <told>

    Examples:
      | busy       | limit | recent_s | safeguard | open           | told |
      | none       | 3     | 0        | on        | p2, p3, p4     | done |
      | none       | 2     | 0        | on        | p3, p4         | done |
      | none       | 4     | 0        | on        | p1, p2, p3, p4 | done |
      | p1         | 3     | 0        | on        | p1, p3, p4     | done |
      | p1         | 3     | 0        | off       | p2, p3, p4     | 3001 |
      | p1, p2, p3 | 3     | 0        | on        | p1, p2, p3, p4 | done |
      | none       | 3     | 60       | on        | p1, p2, p3, p4 | done |

  Scenario: A link closed for being idle is dialled again by the next unit
    Given links: a proxy that closes links idle for 100 ms, and home proxies p1 to p1
    When links: the link to p1 has nothing for longer than that
    Then links: the link to p1 is closed
    And links: a further write at p1 is done, over a second link

  Scenario Outline: An idle link is not polled by <end>, safeguard <safeguard>
    Given links: a proxy that closes links idle for 3600000 ms, and home proxies p1 to p1
    And links: the safeguard "idle links wait for work" is <safeguard>
    When links: the link to p1 is idle for 5 check intervals
    Then links: <end> has checked it more than once is <verdict>

    Examples:
      | end            | safeguard | verdict |
      | the proxy      | on        | false   |
      | the proxy      | off       | true    |
      | the home proxy | on        | false   |
      | the home proxy | off       | true    |

  Scenario: A link takes one descriptor at either end, and frees it when it closes
    Given links: a proxy that closes links idle for 2000 ms, and home proxies p1 to p30
    When links: the links to all home proxies are used
    Then links: 30 descriptors were taken where links were dialled, 30 where they were accepted, no others
    And links: all of these descriptors are closed once the links have been idle
