Feature: client: TLS for client connections

  Scenario Outline: client: TLS <offer>, the driver asks <mode>
    Given client: a proxy whose TLS is <offer>
    Then client: the driver with sslmode <mode> is <result>

    Examples:
      | offer    | mode        | result              |
      | offered  | require     | served over TLS     |
      | offered  | verify-full | served over TLS     |
      | offered  | prefer      | served over TLS     |
      | offered  | disable     | served in the clear |
      | required | require     | served over TLS     |
      | required | disable     | refused with LD1007 |
      | absent   | prefer      | served in the clear |
      | absent   | require     | not connected       |

  Scenario: client: a renewed certificate is used for new connections
    Given client: a proxy with the certificate one
    And client: a driver connected over TLS
    When client: the certificate is replaced by two and SIGHUP sent
    Then client: new connections get the certificate two
    And client: the driver that was connected is still served

  Scenario Outline: client: <broken> at a reload keeps the previous certificate in use
    Given client: a proxy with the certificate one
    When client: <broken> is installed and SIGHUP sent
    Then client: new connections still get one, and are served

    Examples:
      | broken                 |
      | an unreadable file     |
      | a key of another owner |

  Scenario Outline: client: <fault> in a TLS handshake ends that connection only
    Given client: a proxy whose TLS is offered
    When client: a connection asks for TLS and sends <fault>
    Then client: its connection ends
    And client: the driver with sslmode require is served over TLS

    Examples:
      | fault       |
      | garbage     |
      | nothing     |
      | half        |
