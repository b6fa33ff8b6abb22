Feature: client: a login that is revoked while its sessions are open

  Background:
    Given client: a proxy of its own with sessions of acme and rival, one of each in a transaction

  Scenario: client: sessions of a revoked login end, those in a transaction after its end
    When client: the access of rival is revoked
    Then client: the idle session of rival is refused with 28000 and LD1004
    And client: the transaction of rival may commit
    And client: its next request is refused with 28000 and LD1004
    And client: a new login of rival is refused with 28P01 and LD1005

  Scenario: client: sessions of other tenants continue
    When client: the access of rival is revoked
    And client: the idle session of rival is refused with 28000 and LD1004
    Then client: the sessions of acme are served as before
