Feature: Traffic is counted by purpose and distance

  Scenario Outline: traffic: from <own> to <other> is <distance>
    Then traffic: from "<own>" to "<other>" it is "<distance>"

    Examples:
      | own   | other | distance     |
      | z1 r1 | z1 r1 | same-zone    |
      | z1 -  | z1 -  | same-zone    |
      | z1 r1 | z2 r1 | same-region  |
      | z1 r1 | z3 r2 | other-region |
      | z1 r1 | z2 -  | unknown      |
      | z1 -  | z2 -  | unknown      |
      | -  -  | -  -  | unknown      |

  Scenario Outline: traffic: <message> is counted as <purpose>
    Then traffic: "<message>" is counted as "<purpose>"

    Examples:
      | message           | purpose    |
      | LinkHello         | handshake  |
      | ControlSnapshot   | state      |
      | ControlUpdate     | state      |
      | ControlTarget     | state      |
      | ProxyHeartbeat    | leases     |
      | LeaseReturned     | leases     |
      | LeaseUpdate       | leases     |
      | MemberReport      | failover   |
      | PromoteOrder      | failover   |
      | WorkUnit          | forwarding |
      | StatementUnit     | forwarding |
      | AgreementEnvelope | agreement  |
      | ForwardedCall     | calls      |

  Scenario: traffic: a link counts sent bytes by the distance between the zones and regions of its ends
    When traffic: a proxy in z1 of r1 sends 5 heartbeats to a controller in z2 of r2
    Then traffic: the meter counted sent bytes for "handshake" to "unknown"
    And traffic: the meter counted as many sent bytes for "leases" to "other-region" as the link

  Scenario: traffic: statements and status queries to members are counted in both directions
    Given statement path: a session database on primary a and replicas b c, the proxy beside b
    When statement path: the client asks "WRITE x 1" and is told "done I"
    Then traffic: the metrics contain bytes of "statements" sent and received
    When traffic: a is asked for its position
    Then traffic: the metrics contain bytes of "questions" sent and received
