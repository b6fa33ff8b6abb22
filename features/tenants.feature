Feature: A client speaks for the tenant that holds its key, and shares a connection with no other tenant
  Members are told the tenant when a connection is opened, and keep it with what they run.

  Scenario Outline: tenants: a session is opened with <key>
    Given tenants: one holds k1 and two holds k2
    When tenants: a client opens <database> with <key> and is told "<told>"

    Examples:
      | database | key  | told     |
      | db       | k1   | I        |
      | db       | k2   | I        |
      | db       | k3   | AUTHFAIL |
      | nodb     | k1   | NODB     |
      | open     | k3   | I        |

  Scenario: tenants: members are told the tenant that holds the key
    Given tenants: one holds k1 and two holds k2
    When tenants: a client opens db with k1 and is told "I"
    And tenants: it asks "WRITE x 1" and is told "done I"
    And tenants: a client opens db with k2 and is told "I"
    And tenants: it asks "WRITE x 2" and is told "done I"
    And tenants: a client opens open with k1 and is told "I"
    And tenants: it asks "WRITE x 3" and is told "done I"
    Then tenants: "WRITE x 1" ran for one
    And tenants: "WRITE x 2" ran for two
    And tenants: "WRITE x 3" ran for limedyke

  Scenario Outline: tenants: one connection to each member, and two tenants that want it <how>
    Given tenants: one holds k1 and two holds k2
    And tenants: the lease is for 1 connection
    When tenants: clients of one and two write <how> 6 times each
    Then tenants: each write was done and ran for its own tenant
    And tenants: no member had more than 1 connection

    Examples:
      | how        |
      | in turn    |
      | at once    |

  Scenario: tenants: a tenant with many requests does not keep all connections
    Given tenants: one holds k1 and two holds k2
    And tenants: the lease is for 1 connection
    And tenants: members take 20 ms for a read
    When tenants: 12 clients of one read over and over
    And tenants: a client opens db with k2 and is told "I"
    And tenants: it asks "WRITE x 2" and is told "done I" within 600 ms

  Scenario: tenants: a connection of the same tenant is used again
    Given tenants: one holds k1 and two holds k2
    When tenants: clients of one and two write in turn 6 times each
    Then tenants: members were opened 2 connections in all

  Scenario: tenants: a home proxy runs forwarded statements for their tenant
    Given tenants: a proxy without a lease, one holds k1 and two holds k2
    When tenants: clients of one and two write in turn 6 times each
    Then tenants: each write was done and ran for its own tenant

  Scenario: tenants: a key that is newer than the proxy's view is asked about
    Given tenants: one holds k1 and two holds k2
    And tenants: the controllers know that one holds k9 too
    When tenants: a client opens db with k9 and is told "I"
    Then tenants: the controllers were asked 1 times

  Scenario: tenants: a proxy that is cut off can't say that a key is unknown
    Given tenants: one holds k1 and two holds k2
    And tenants: the controllers can't be reached
    When tenants: a client opens db with k9 and is told "BUSY"
    And tenants: a client opens db with k1 and is told "I"

  Scenario Outline: tenants: <change> binds an open session from its next operation on
    Given tenants: one holds k1 and two holds k2
    When tenants: a client opens db with k1 and is told "I"
    And tenants: it asks "WRITE x 1" and is told "done I"
    And tenants: <change>
    And tenants: it asks "WRITE x 2" and is told "<told>"
    Then tenants: "WRITE x 2" ran for <tenant>

    Examples:
      | change                       | told       | tenant |
      | one holds k8 now             | AUTHFAIL I | nobody |
      | one holds no key now         | AUTHFAIL I | nobody |
      | one is declared no longer    | AUTHFAIL I | nobody |
      | two holds k1 now, one none   | done I     | two    |

  Scenario: tenants: a session whose key was taken away is ended
    Given tenants: one holds k1 and two holds k2
    When tenants: a client opens db with k1 and is told "I"
    And tenants: one holds no key now
    And tenants: it asks "READ x" and is told "AUTHFAIL I"
    Then tenants: its session is closed

  Scenario: tenants: an open transaction ends under the tenant that began it
    Given tenants: one holds k1 and two holds k2
    When tenants: a client opens db with k1 and is told "I"
    And tenants: it asks "BEGIN" and is told "done T"
    And tenants: it asks "WRITE x 1" and is told "done T"
    And tenants: two holds k1 now, one none
    And tenants: it asks "WRITE x 2" and is told "done T"
    And tenants: it asks "COMMIT" and is told "done I"
    And tenants: it asks "WRITE x 3" and is told "done I"
    Then tenants: "WRITE x 2" ran for one
    And tenants: "WRITE x 3" ran for two

  Scenario Outline: tenants: a configuration with <fault> is refused, and the reason shows no key
    When tenants: a configuration has <fault>
    Then tenants: it is refused for "<reason>", and no key is shown

    Examples:
      | fault                          | reason                               |
      | a key of two tenants           | share a key                          |
      | two tenants of one name        | two tenants share the name           |
      | an empty key                   | has an empty key                     |
      | a tenant without a name        | tenants.0.name                       |
      | a negative rate                | tenants.0.ratePerS                   |
      | a negative burst               | tenants.0.burst                      |
      | a rate that is no number       | tenants.0.ratePerS                   |
      | a negative limit               | limits.maxBodyBytes                  |
      | keys that are numbers          | tenants.0.apiKeys.0                  |

  Scenario: tenants: a declaration holds digests of keys only
    When tenants: a valid configuration is declared
    Then tenants: no key stands in the declaration, and each finds its tenant
