Feature: Distribution of the control state to proxies
  Whatever state a proxy has, a few short messages bring it up to date, and never back to an older state.

  Scenario Outline: news: reconnecting proxies catch up
    Then news: in <histories> histories with <kept> updates kept, all views become the current one

    Examples:
      | histories | kept |
      | 40        | 4096 |
      | 40        | 8    |
      | 40        | 1    |

  Scenario: news: a proxy that joins before the first change receives it
    Given news: a state with nothing declared
    When news: a proxy without state connects
    And news: the first declaration comes into force
    Then news: the proxy has it in force

  Scenario: news: many proxies that start at once share one encoded snapshot
    Given news: a state with 100 groups
    When news: 60 proxies without state connect, each after another change
    Then news: 1 snapshot was encoded
    And news: each took 1 snapshot and at most 2 updates

  Scenario: news: a snapshot is encoded again when the updates after it are no longer kept
    Given news: a state with 30 groups, and 8 updates kept
    When news: 40 proxies without state connect, each after another change
    Then news: at least 4 and at most 8 snapshots were encoded

  Scenario: news: a large message is compressed, and decoded unchanged
    Given news: a state with 300 groups
    Then news: the snapshot's frame is less than a fifth of the message, and decodes to it
    And news: the same holds if the frame arrives in pieces

  Scenario Outline: news: a damaged compressed frame
    Given news: a state with 300 groups
    When news: the snapshot's frame <damage>
    Then news: reading it fails with <code>

    Examples:
      | damage                         | code               |
      | has a flipped byte             | PROTOCOL_VIOLATION |
      | is truncated                   | PROTOCOL_VIOLATION |
      | exceeds the maximum frame size | MESSAGE_TOO_LARGE  |
