Feature: Keys identify tenants, and a connection serves a single tenant
  Members learn the tenant when a connection is opened, and record it with what they run.

  Scenario Outline: tenants: a session is opened with <key>
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    When tenants: a client opens <database> with <key> and gets "<told>"

    Examples:
      | database | key  | told     |
      | db       | k1   | I        |
      | db       | k2   | I        |
      | db       | k3   | AUTHFAIL |
      | nodb     | k1   | NODB     |
      | open     | k3   | I        |

  Scenario: tenants: members learn the tenant that holds the key
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    When tenants: a client opens db with k1 and gets "I"
    And tenants: it sends "WRITE x 1" and gets "done I"
    And tenants: a client opens db with k2 and gets "I"
    And tenants: it sends "WRITE x 2" and gets "done I"
    And tenants: a client opens open with k1 and gets "I"
    And tenants: it sends "WRITE x 3" and gets "done I"
    Then tenants: "WRITE x 1" ran for one
    And tenants: "WRITE x 2" ran for two
    And tenants: "WRITE x 3" ran for limedyke

  Scenario Outline: tenants: two tenants share one connection to each member, writing <how>
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And tenants: the lease is for 1 connection
    When tenants: clients of one and two write <how> 6 times each
    Then tenants: each write was done and ran for its own tenant
    And tenants: no member had more than 1 connection

    Examples:
      | how        |
      | in turn    |
      | at once    |

  Scenario: tenants: a tenant with many requests does not occupy all connections
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And tenants: the lease is for 1 connection
    And tenants: members take 20 ms for a read
    When tenants: 12 clients of tenant one read continuously
    And tenants: a client opens db with k2 and gets "I"
    And tenants: it sends "WRITE x 2" and gets "done I" within 600 ms

  Scenario: tenants: a connection is reused for the same tenant
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    When tenants: clients of one and two write in turn 6 times each
    Then tenants: 2 connections to members were opened in total

  Scenario: tenants: a home proxy runs forwarded statements for their tenant
    Given tenants: a proxy without a lease, tenant one holds key k1 and tenant two holds key k2
    When tenants: clients of one and two write in turn 6 times each
    Then tenants: each write was done and ran for its own tenant

  Scenario: tenants: a proxy asks the controllers about a key that is newer than its view
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And tenants: the controllers know that one holds k9 too
    When tenants: a client opens db with k9 and gets "I"
    Then tenants: the controllers were asked 1 times

  Scenario: tenants: an isolated proxy does not reject a key as unknown
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    And tenants: the controllers can't be reached
    When tenants: a client opens db with k9 and gets "BUSY"
    And tenants: a client opens db with k1 and gets "I"

  Scenario Outline: tenants: <change> takes effect in an open session with its next operation
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    When tenants: a client opens db with k1 and gets "I"
    And tenants: it sends "WRITE x 1" and gets "done I"
    And tenants: <change>
    And tenants: it sends "WRITE x 2" and gets "<told>"
    Then tenants: "WRITE x 2" ran for <tenant>

    Examples:
      | change                       | told       | tenant |
      | one holds k8 now             | AUTHFAIL I | nobody |
      | one holds no key now         | AUTHFAIL I | nobody |
      | one is declared no longer    | AUTHFAIL I | nobody |
      | two holds k1 now, one none   | done I     | two    |

  Scenario: tenants: a session whose key was taken away is ended
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    When tenants: a client opens db with k1 and gets "I"
    And tenants: one holds no key now
    And tenants: it sends "READ x" and gets "AUTHFAIL I"
    Then tenants: its session is closed

  Scenario: tenants: an open transaction ends under the tenant that began it
    Given tenants: tenant one holds key k1 and tenant two holds key k2
    When tenants: a client opens db with k1 and gets "I"
    And tenants: it sends "BEGIN" and gets "done T"
    And tenants: it sends "WRITE x 1" and gets "done T"
    And tenants: two holds k1 now, one none
    And tenants: it sends "WRITE x 2" and gets "done T"
    And tenants: it sends "COMMIT" and gets "done I"
    And tenants: it sends "WRITE x 3" and gets "done I"
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

  Scenario: tenants: a declaration contains only digests of keys
    When tenants: a valid configuration is declared
    Then tenants: the declaration contains no key, and each key's digest finds its tenant
