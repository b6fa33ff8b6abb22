Feature: Invalid records of members are refused or ignored, without effect on other members
  An announcement, or the record of a member in the log, a snapshot or a message, may come from another writer, with
  missing fields, fields of another type, unknown states or unreadable bytes. Guards against accepting an address
  without a port, an empty service or a number written as text. A blank in an identity would have split it into two
  fields of the member protocol, and an address without a port crashed each task that used it ("invalid literal for
  int() with base 10: ''").

  Scenario: foreign records: a valid announcement
    When foreign records: a member announces itself
    Then foreign records: it is accepted, with its start time

  Scenario: foreign records: an announcement of a platform whose members do not report their start time
    When foreign records: a member announces itself, without "born"
    Then foreign records: it is accepted, without a start time

  Scenario Outline: foreign records: an announcement without "<field>", or with another type
    Then foreign records: it is refused without "<field>", naming the field
    And foreign records: it is refused with each of <values> as "<field>", naming the field

    Examples:
      | field        | values                                                                                                |
      | service      | 7, null, "", "a b", ["x"]                                                                             |
      | address      | 7, null, "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999", "host:80", ":80", "10.0.0.1:8a" |
      | zone         | 7, null, ""                                                                                           |
      | version      | 7, null                                                                                               |
      | capacity     | "3", 2.5, -1, null, true, [3]                                                                         |
      | state        | "resting", "READY", 1, null                                                                           |
      | dbRole       | "leader", 1, null                                                                                     |
      | callSeq      | "4", 4.5, null, true                                                                                  |
      | warmupLeftMs | "0", null, -1                                                                                         |

  Scenario: foreign records: a start time that is not an integer
    Then foreign records: it is refused with each of "1790000000000", 1790000000000.5, null, true, -1, 0, [1] as "born", naming the field

  Scenario Outline: foreign records: bytes that are not an announcement: <bytes>
    When foreign records: a member announces itself with "<bytes>"
    Then foreign records: it is refused

    Examples:
      | bytes        |
      |              |
      | {            |
      | []           |
      | null         |
      | 7            |
      | "ready"      |
      | \xff\xfe\x00 |
      | {"service":  |

  Scenario Outline: foreign records: an invalid identity: <identity>
    When foreign records: a member announces itself as "<identity>"
    Then foreign records: it is refused

    Examples:
      | identity |
      |          |
      | a b      |
      | a\r\nb   |
      | a\x00    |

  Scenario Outline: foreign records: a proxy whose view holds <record> serves with the other members
    Given foreign records: a proxy with primary a, replicas b and c, and <record> as a member of the group
    When foreign records: a client writes and reads for 1500 ms, one member silent for a moment
    Then foreign records: every statement succeeded
    And foreign records: no connection to the record was attempted, and it was logged once

    Examples:
      | record                    |
      | an address without a port |
      | an address that is a name |
      | an identity with a blank  |
      | an unknown state          |

  Scenario: foreign records: a leader whose log holds a record without a port promotes another member
    Given foreign records: a leader whose group has primary a, replica c, and b with an address without a port
    When foreign records: a is reported unreachable by all
    Then foreign records: promotion is requested of c

  Scenario: foreign records: a state of a later version is read from a link, and its member gets no work
    When foreign records: a record in the state "paused" is read from a link
    Then foreign records: its member is not used, and the others of the message are valid
