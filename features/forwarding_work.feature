Feature: Work forwarded to home proxies
  A proxy without connections of its own sends whole units to a home proxy. Whatever happens to
  the home proxy or the link, the caller gets the true outcome.

  Background:
    Given back ends: proxy p1 with the shared members
    And forwarding: proxy p2 without a lease

  Scenario: A transaction stays on one connection of one home proxy
    Given forwarding: another home proxy p3
    When forwarding: a transaction of 4 statements runs through p2
    Then forwarding: all ran on one connection, and its row is there

  Scenario Outline: The home proxy <fate> while <work> is running, <others> other home
    Given forwarding: <others> other home proxy p3
    When forwarding: <work> runs through p2 and its home proxy <fate>
    Then forwarding: its outcome is <told> in less than <within_s> s, and its row is there <times> times

    Examples: the process ends
      | fate  | work               | others | told           | within_s | times |
      | dies  | a read             | one    | done           | 1        | 0     |
      | dies  | a read             | no     | ran-and-failed | 2        | 0     |
      | dies  | a write            | one    | unknown        | 1        | 0     |
      | dies  | a step             | one    | did-not-run    | 1        | 0     |
      | dies  | a COMMIT           | one    | unknown        | 1        | 1     |

    Examples: the link is cut one way
      | fate              | work     | others | told        | within_s | times |
      | is no more heard  | a read   | one    | done        | 2        | 0     |
      | is no more heard  | a write  | one    | unknown     | 2        | 1     |
      | is no more heard  | a COMMIT | one    | unknown     | 2        | 1     |
      | hears no more     | a write  | one    | unknown     | 2        | 0     |
      | hears no more     | a step   | one    | did-not-run | 2        | 0     |

  Scenario: A home proxy that accepts links but never answers delays no other work
    Given forwarding: a nearer home proxy that never answers, and another home proxy p3
    When forwarding: 20 reads run one after the other through p2
    Then forwarding: all were done, the slowest in less than 900 ms and the others in less than 300 ms

  Scenario Outline: A transaction of a proxy that is cut off is rolled back, safeguard <safeguard>
    Given forwarding: the safeguard "silence" is <safeguard>
    When forwarding: p2 has written in a transaction and is cut off from its home proxy
    Then forwarding: its locks are free after 2 s is <free>

    Examples:
      | safeguard | free  |
      | on        | true  |
      | off       | false |

  Scenario: A transaction whose caller disconnects is rolled back at the home proxy
    When forwarding: p2 has written in a transaction and its caller disconnects
    Then forwarding: its locks are free after 2 s is true

  Scenario Outline: The home proxy sends a slow reader no more than a window, safeguard <safeguard>
    Given forwarding: the safeguard "window" is <safeguard>
    When forwarding: a caller of p2 stops reading in the middle of 4000000 bytes
    Then forwarding: the home proxy has sent no more than 400000 bytes is <bounded>
    And forwarding: the caller gets all of it when it continues to read

    Examples:
      | safeguard | bounded |
      | on        | true    |
      | off       | false   |

  Scenario: A draining home proxy takes no new work, and others do
    Given forwarding: another home proxy p3
    When forwarding: p1 drains with a transaction of p2 open
    Then forwarding: new work of p2 runs at p3, and the open transaction completes

  Scenario Outline: A home proxy without a lease sends work on at once: <case>
    Given forwarding: another home proxy p3
    And forwarding: p1 has no lease of the tenant, <others>
    When forwarding: a write comes through <proxy>
    Then forwarding: its outcome is <told> in less than <within_ms> ms, with a retry delay is <hint>

    Examples:
      | case                     | others           | proxy | told        | within_ms | hint  |
      | forwarded                | but p3 has       | p2    | done        | 500       | false |
      | its own caller's         | but p3 has       | p1    | done        | 500       | false |
      | nobody has one           | and p3 has none  | p2    | did-not-run | 1500      | true  |
      | nobody has one, at home  | and p3 has none  | p1    | did-not-run | 1500      | true  |

  Scenario: Work that waits at a home proxy continues elsewhere when the lease ends
    Given forwarding: another home proxy p3
    When forwarding: a write waits for a primary at p1, and the lease of p1 ends
    Then forwarding: its outcome is done in less than 1000 ms, with a retry delay is false

  Scenario Outline: A read behind a barrier is proven elsewhere when this proxy monitors no members: <case>
    Given forwarding: another home proxy p3
    And forwarding: p1 is no longer a home proxy, but still has its lease
    When forwarding: a read behind a barrier comes through <proxy>
    Then forwarding: the read is answered in less than 1000 ms

    Examples:
      | case             | proxy |
      | its own client's | p1    |
      | forwarded        | p2    |

  Scenario: Forwarded units leave no tasks behind at the home proxy
    When forwarding: 200 reads run through p2
    Then forwarding: p1 has no tasks left of them

  Scenario Outline: forwarding: a unit whose time is over when it arrives does not run, <which>
    When forwarding: a write whose time is over arrives at p1, <which>
    Then forwarding: it is refused as <code>, nothing was written, and no transaction is open

    Examples:
      | which                      | code             |
      | in an open transaction     | TRANSACTION_LOST |
      | outside a transaction      | QUEUE_TIMEOUT    |
