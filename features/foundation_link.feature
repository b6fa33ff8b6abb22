Feature: Links between the system's own processes
  Both ends prove that they know the key before any message is exchanged.

  Scenario: Two processes that know the key exchange messages
    When link: a proxy dials a controller with the same key
    Then link: the link opens and 100 messages come back in order
    And link: both ends count the same messages and bytes

  Scenario: Messages similar to earlier ones take few bytes
    When link: a proxy dials a controller with the same key
    Then link: the link opens and 100 heartbeats of 69 bytes come back in order
    And link: both ends count the same messages and bytes
    And link: the heartbeats took less than 20 bytes each

  Scenario: Links to a peer of the previous version are not compressed
    When link: a peer that doesn't announce compression sends 3 messages
    Then link: the controller received 3 messages
    And link: the peer received 3 uncompressed messages back

  Scenario Outline: A link is closed after <damage>
    When link: a peer sends a compressed message and then <damage>
    Then link: the controller received 1 messages
    And link: the controller closed the link

    Examples:
      | damage                                          |
      | compressed bytes that are damaged               |
      | a frame with both compression flags set  |
      | a compressed message above the limit            |

  Scenario: An operator proves its own key, not the cluster's
    When link: an operator dials a controller with the operator's key
    Then link: the link opens and 1 messages come back in order

  Scenario Outline: A peer that does not prove itself is refused
    When link: the controller is contacted by <peer>
    Then link: the controller accepts no message from it

    Examples:
      | peer                                            |
      | a proxy with a wrong key                        |
      | an operator that is not declared                |
      | an operator with the cluster's key              |
      | a peer that sends the hello back             |
      | a peer that relays hellos between two links  |
      | a peer that sends a proof first                 |
      | a peer of another protocol version              |
      | a peer that announces a frame above the limit   |
      | a peer that sends random bytes                  |

  Scenario: A peer that stays silent is cut off in time
    When link: a peer that sends nothing dials a controller
    Then link: the controller closes the connection within 6 seconds

  Scenario: A dialler does not trust a controller without the key
    When link: a proxy dials a controller that has a wrong key
    Then link: the dial fails with OPERATOR_REFUSED

  Scenario: A dial fails when nobody listens
    When link: a proxy dials an address where nobody listens
    Then link: the dial fails with PEER_UNREACHABLE

  Scenario: A link lost in the handshake is not reported as a refusal
    When link: a proxy dials a peer that accepts and closes at once
    Then link: the dial fails with PEER_UNREACHABLE

  Scenario: A send that is cancelled midway closes the link
    When link: a send to a peer that does not read times out
    Then link: the next send fails as the link is closed
