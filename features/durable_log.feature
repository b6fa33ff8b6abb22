Feature: The controllers' durable log

  An acknowledged write survives any crash. An unacknowledged write is there completely or not at all.
  A log that cannot be read back is refused with its file and offset, and is never repaired by guessing.

  Scenario Outline: A torn tail is cut and reported: <damage>
    Given durable log: a log of 6 batches on a simulated disk
    When durable log: the newest segment is damaged by <damage>
    Then durable log: it opens with <entries> entries
    And durable log: the cut tail is <reported>
    And durable log: it accepts a further entry and keeps it after a crash

    Examples:
      | damage                       | entries | reported                      |
      | nothing                      | 6       | not reported                  |
      | half a frame appended        | 6       | reported with file and offset |
      | 30 zero bytes appended       | 6       | reported with file and offset |
      | 30 random bytes appended     | 6       | reported with file and offset |
      | its last byte lost           | 5       | reported with file and offset |
      | its last byte changed        | 5       | reported with file and offset |
      | its last frame's marker lost | 5       | reported with file and offset |

  Scenario Outline: Corruption before the tail is refused: <damage>
    Given durable log: a log of 3 segments and a snapshot on a simulated disk
    When durable log: the log is damaged by <damage>
    Then durable log: opening it is refused as corrupt, naming <file> and an offset <offset>
    And durable log: opening it again gives the same error

    Examples:
      | damage                                | file     | offset |
      | a byte in the newest segment's middle | newest   | > 0    |
      | a byte in the oldest segment's middle | oldest   | > 0    |
      | the oldest segment's end lost         | oldest   | > 0    |
      | the newest segment's header           | newest   | 0      |
      | a segment in the middle lost          | second   | 0      |
      | the newest segment of another log     | newest   | 0      |
      | a byte of the snapshot                | snapshot | 0      |
      | the snapshot lost                     | snapshot | 0      |
      | a byte of the manifest                | manifest | 0      |
      | the manifest lost                     | manifest | 0      |

  Scenario: A power loss at every disk operation, and again while opening, keeps acknowledged writes
    Then durable log: crashes at every disk operation of seeds 1 to 8 keep acknowledged writes

  Scenario Outline: Without <safeguard> a crash loses acknowledged writes
    Given durable log: <safeguard> is patched out
    Then durable log: crashes at every disk operation of seeds 1 to 8 show a violation

    Examples:
      | safeguard                     |
      | sync of the segment           |
      | sync of replaced files        |
      | manifest before removal       |
      | finish of a cut-short install |

  Scenario Outline: A failed sync, then <history>, with <safeguard> patched out: <outcome>
    Given durable log: <safeguard> is patched out
    When durable log: a sync fails and then <history>
    Then durable log: all entries reported as durable are <outcome>

    Examples:
      | safeguard                             | history                          | outcome |
      | none                                  | another write is tried           | kept    |
      | refusal after a failed write          | another write is tried           | lost    |
      | none                                  | the process restarts and goes on | kept    |
      | rewrite of the newest segment at open | the process restarts and goes on | lost    |

  Scenario Outline: A full disk refuses writes and damages nothing: <room> bytes left
    Given durable log: a log of 6 batches on a simulated disk
    When durable log: the disk has space for <room> more bytes
    Then durable log: an entry of 200 bytes is refused as DISK_FULL
    And durable log: an entry of 1 bytes is refused as DISK_FULL
    When durable log: the disk has space again and the process restarts
    Then durable log: it opens with 6 entries
    And durable log: it accepts a further entry and keeps it after a crash

    Examples:
      | room |
      | 0    |
      | 3    |
      | 100  |

  Scenario: A full disk while a snapshot is saved leaves the old snapshot
    Given durable log: a log of 3 segments and a snapshot on a simulated disk
    When durable log: the disk has space for 50 more bytes
    Then durable log: saving a larger snapshot is refused as DISK_FULL
    When durable log: the disk has space again and the process restarts
    Then durable log: it still has its first snapshot and all entries

  Scenario: A full disk of the operating system
    Given durable log: a log in a folder of the operating system
    When durable log: an entry of 200 bytes is written while files may grow by 40 bytes only
    Then durable log: it was refused as DISK_FULL
    And durable log: an entry of 1 bytes is refused as DISK_FULL
    When durable log: the process restarts
    Then durable log: it opens with 6 entries

  Scenario: Snapshots bound the space on the disk
    Given durable log: a log in a folder of the operating system
    When durable log: 4000 entries are written, with a snapshot every 500
    Then durable log: the folder holds less than 120000 bytes in at most 4 segments
    And durable log: it opens with the entries after the last snapshot

  Scenario: A lost disk means a new identity, and a folder has one owner
    Given durable log: a log in a folder of the operating system
    Then durable log: a second process is refused the folder
    And durable log: another controller's name is refused the folder
    And durable log: its incarnation is the same after a restart
    When durable log: the folder is lost
    Then durable log: the log is empty and its incarnation is new

  Scenario Outline: The last leader contact is used only if the unsynced note surely survived: <event>
    Given durable log: a log of 6 batches on a simulated disk
    When durable log: a leader contact is noted at 12.5, and <event>
    Then durable log: the next process knows <time>

    Examples:
      | event                                     | time    |
      | the process restarts                      | 12.5    |
      | another was heard at 13.5                 | 13.5    |
      | the power is lost                         | nothing |
      | a byte of the note is changed             | nothing |
      | the note is cut                           | nothing |
      | the note is lost                          | nothing |
      | the folder is another incarnation's       | nothing |
      | the system does not say since when it ran | nothing |

  Scenario: The last leader contact, in a folder of the operating system
    Given durable log: a log in a folder of the operating system
    When durable log: a leader contact is noted at 12.5, and the process ends
    Then durable log: the next process knows 12.5
