Feature: Links between controllers come up soon after restarts
  Elections after a restart of all controllers wait for these links.

  Scenario: controller links: a controller that becomes known after the start is dialled at once
    Given controller links: controllers a and b that run without knowing each other
    When controller links: a learns the address of b and sends to it
    Then controller links: b receives it within 250 ms

  Scenario: controller links: a peer that dials is dialled back although an attempt to reach it hangs
    Given controller links: controllers a and b that run without knowing each other
    When controller links: an attempt of a to reach b hangs, and then b sends to a
    And controller links: a sends to b
    Then controller links: b receives it within 250 ms

  Scenario: controller links: peers that start a moment apart connect soon
    Given controller links: controllers a and b, of which b starts 60 ms later
    When controller links: a sends to b again and again
    Then controller links: b receives it within 250 ms

  # The later one gave up its own attempt in the midst of the handshake, as the other's arrived, and began anew.
  Scenario Outline: controller links: of peers <delay> ms apart that start together none gives up its attempt
    Given controller links: controllers a and b that start 5 ms one after the other, <delay> ms apart
    Then controller links: both are connected within 1 s, and each has dialled once

    Examples:
      | delay |
      | 10    |
      | 20    |
      | 40    |

  Scenario Outline: controller links: a link that goes silent is replaced, <why>: <verdict>
    Given controller links: controllers a and b that run without knowing each other
    And controller links: the safeguard "keepalive" is <safeguard>
    When controller links: a learns the address of b and sends to it
    Then controller links: b receives it within 250 ms
    When controller links: the link from a to b goes silent, and is <used> for <rest> ms
    And controller links: a sends to b again and again
    Then controller links: b receives it within <limit> ms is <verdict>

    Examples:
      | why                     | safeguard | used | rest | limit | verdict |
      | messages are being sent | on        | used | 0    | 1800  | true    |
      | it was idle meanwhile   | on        | idle | 1700 | 250   | true    |
      | no probes are sent      | off       | used | 0    | 1800  | false   |
      | no probes are sent      | off       | idle | 1700 | 250   | false   |

  Scenario: controller links: a link whose probes are answered stays open
    Given controller links: controllers a and b that run without knowing each other
    When controller links: a learns the address of b and sends to it
    And controller links: 2500 ms pass
    Then controller links: a has dialled b once
