Feature: A record of another writer names no member, and the others hold
  A member's announcement, and a record of one in the log, a snapshot or on a link, may come from another writer: fields
  missing or of another type, states that nobody knows, bytes that can't be read. An address without a port, an empty
  service and a number written as text were taken; a blank in an identity would have reached members as a field of its
  own, and each look at a member without a port crashed its task ("invalid literal for int() with base 10: ''").

  Scenario: foreign records: an announcement as members make it
    When foreign records: a member announces itself
    Then foreign records: it is taken, with its start

  Scenario: foreign records: an announcement of a platform whose members do not tell their start
    When foreign records: a member announces itself, without "born"
    Then foreign records: it is taken, without its start

  Scenario Outline: foreign records: an announcement without "<field>", or of another type there
    Then foreign records: it is refused without "<field>", naming it
    And foreign records: it is refused with each of <values> as "<field>", naming it

    Examples:
      | field        | values                                        |
      | service      | 7, null, "", "a b", ["x"]                     |
      | address      | 7, null, "", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:99999", "host:80", ":80", "10.0.0.1:8a" |
      | zone         | 7, null, ""                                   |
      | version      | 7, null                                       |
      | capacity     | "3", 2.5, -1, null, true, [3]                 |
      | state        | "resting", "READY", 1, null                   |
      | dbRole       | "leader", 1, null                             |
      | callSeq      | "4", 4.5, null, true                          |
      | warmupLeftMs | "0", null, -1                                 |

  Scenario: foreign records: a start that is no whole number
    Then foreign records: it is refused with each of "1790000000000", 1790000000000.5, null, true, -1, 0, [1] as "born", naming it

  Scenario Outline: foreign records: bytes that are no announcement: <bytes>
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

  Scenario Outline: foreign records: an identity that is none: <identity>
    When foreign records: a member announces itself as "<identity>"
    Then foreign records: it is refused

    Examples:
      | identity  |
      |           |
      | a b       |
      | a\r\nb    |
      | a\x00     |

  Scenario Outline: foreign records: a proxy whose view holds <record> serves by the other members
    Given foreign records: a proxy with primary a, replicas b and c, and <record> as a member of the group
    When foreign records: a client writes and reads for 1500 ms, members silent for a moment
    Then foreign records: every statement was done
    And foreign records: no connection to the record was tried, and it was named once in the log

    Examples:
      | record                          |
      | an address without a port       |
      | an address that is a name       |
      | an identity with a blank        |
      | a state that nobody knows       |

  Scenario: foreign records: a leader whose log holds a record without a port promotes another member
    Given foreign records: a leader whose group has primary a, replica c, and b with an address without a port
    When foreign records: a is reported unreachable by all
    Then foreign records: promotion is asked of c

  Scenario: foreign records: a state of a later version is read from a link, and takes no work
    When foreign records: a record in the state "paused" is read from a link
    Then foreign records: it is no member to use, and the others of the message hold
