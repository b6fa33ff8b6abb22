Feature: Connections, slots and pools with real members
  Leases limit the connections, slot shares limit concurrent statements, and pools separate tenants.
  Each scenario also runs with its safeguard disabled, to show that it detects the fault.

  Background:
    Given back ends: proxy p1 with the shared members

  Scenario Outline: Connections never exceed the lease, safeguard <safeguard>
    Given pool: p1 leases 2 connections for tenant one and 1 for tenant two
    And pool: member a accepts only that many connections
    And pool: the safeguard "lease" is <safeguard>
    When pool: 40 writes of tenant one and 20 of tenant two arrive at once
    Then pool: member a refused <refused> connection

    Examples:
      | safeguard | refused |
      | on        | no      |
      | off       | some    |

  Scenario Outline: Statements at a member never exceed the slots, safeguard <safeguard>
    Given pool: the group has 2 slots, member a would run 50 statements at once, each for 40 ms
    And pool: the safeguard "slots" is <safeguard>
    When pool: 30 statements for member a arrive at once
    Then pool: it is <verdict> that at most 2 ran at once

    Examples:
      | safeguard | verdict |
      | on        | true    |
      | off       | false   |

  Scenario Outline: The shares of the home proxies cover the slots of the group: <slots> slots, <homes> homes
    When pool: a group of <slots> slots has <homes> home proxies
    Then pool: their shares are <shares>

    Examples:
      | slots | homes | shares    |
      | 5     | 1     | 5         |
      | 5     | 3     | 2, 2, 1   |
      | 10    | 3     | 4, 3, 3   |
      | 2     | 3     | 1, 1, 1   |

  Scenario Outline: An open transaction continues while others wait for its locks, safeguard <safeguard>
    Given pool: the group has 2 slots
    And pool: the safeguard "transaction" is <safeguard>
    When pool: a transaction has written, and 4 writes wait for its lock
    Then pool: the next statement of the transaction is answered <when>

    Examples:
      | safeguard | when     |
      | on        | at once  |
      | off       | too late |

  Scenario Outline: Pools never mix tenants, safeguard <safeguard>
    Given pool: the safeguard "tenants" is <safeguard>
    When pool: both tenants query their login 20 times at once
    Then pool: it is <verdict> that each answer shows the tenant's own login

    Examples:
      | safeguard | verdict |
      | on        | true    |
      | off       | false   |

  Scenario Outline: A leaving member gets no new work, safeguard <safeguard>
    Given pool: the safeguard "leaving" is <safeguard>
    When pool: reads run on all replicas for 100 ms each and member b leaves
    Then pool: the running reads are answered completely, and new work for b is <new>

    Examples:
      | safeguard | new    |
      | on        | absent |
      | off       | there  |

  Scenario Outline: The class of higher priority is served first: <first> before <second>
    Given pool: p1 has one connection, and each statement takes 10 ms
    When pool: 10 statements of class <second> wait, and 10 of class <first> arrive later
    Then pool: the later ones were served first

    Examples:
      | first       | second      |
      | alert       | interactive |
      | interactive | batch       |
