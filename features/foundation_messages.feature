Feature: Messages of the internal protocol
  Every registered message round-trips through its encoding, and damaged bytes are refused.

  Scenario: Every registered message round-trips through its encoding
    Given messages: examples of every registered kind
    When messages: each is encoded and decoded
    Then messages: each result equals what was encoded

  Scenario: A kind number belongs to one class
    When messages: a second class registers kind 10
    Then messages: the registration is refused naming "LinkHello"

  Scenario Outline: Damaged bytes are refused with a code
    When messages: <damage> is decoded
    Then messages: the answer is PROTOCOL_VIOLATION

    Examples:
      | damage                     |
      | an empty message           |
      | a message cut in half      |
      | bytes that are not msgpack |
      | an unknown kind            |
      | a missing field            |
      | a field of another type    |
      | a bare number              |

  Scenario: A field that a newer peer has added is ignored
    When messages: a field that is not declared is decoded
    Then messages: the answer is the message without that field

  Scenario Outline: Frames are read from a stream that arrives in pieces of any size
    Given messages: frames of <sizes> bytes in one stream
    When messages: the stream is fed in pieces of <piece> bytes
    Then messages: the frames are read completely and in order

    Examples:
      | sizes          | piece |
      | 0, 1, 2        | 1     |
      | 5, 0, 300      | 3     |
      | 70000, 1       | 4096  |
      | 10, 20, 30, 40 | 1000  |

  Scenario: A frame above the limit is refused before it is buffered
    When messages: a frame one byte above the limit is announced
    Then messages: the frame is refused as MESSAGE_TOO_LARGE
