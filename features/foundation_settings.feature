Feature: Settings of a process
  The whole settings file is validated before the process starts.

  Scenario Outline: A valid settings file is completed with defaults
    Given settings: the valid settings of a <process>
    When settings: the file is loaded
    Then settings: "<key>" is "<value>"

    Examples:
      | process    | key                   | value |
      | proxy      | heartbeat_interval_ms | 1000  |
      | proxy      | maximum_clients       | 12000 |
      | controller | connection_lease_ms   | 30000 |

  Scenario: A flag overrides the file
    Given settings: the valid settings of a proxy
    When settings: the file is loaded with the flag "zone" set to "z9"
    Then settings: "zone" is "z9"

  Scenario Outline: A wrong value names file, key and reason
    Given settings: the valid settings of a proxy
    And settings: "<key>" is set to <value>
    When settings: the file is loaded
    Then settings: it is refused as SETTINGS_INVALID naming the file, "<named>" and "<reason>"

    Examples:
      | key                   | value              | named                 | reason                 |
      | zonne                 | "z1"               | zonne                 | Extra inputs           |
      | zone                  | null               | zone                  | valid string           |
      | name                  | "Proxy One"        | name                  | pattern                |
      | client_listen         | "localhost:5432"   | client_listen         | IPv4 or IPv6           |
      | client_listen         | "127.0.0.1"        | client_listen         | expected ip:port       |
      | client_listen         | "127.0.0.1:70000"  | client_listen         | up to 65535            |
      | client_listen         | "127.0.0.1:x"      | client_listen         | up to 65535            |
      | controllers           | []                 | controllers           | at least 1             |
      | controllers           | ["127.0.0.1"]      | controllers.0         | expected ip:port       |
      | heartbeat_interval_ms | 1                  | heartbeat_interval_ms | greater than or equal  |
      | heartbeat_interval_ms | "soon"             | heartbeat_interval_ms | valid integer          |
      | tls                   | {"certificate": 1} | tls.private_key       | Field required         |

  Scenario Outline: A file that cannot be read names the reason
    Given settings: a file with <content>
    When settings: the file is loaded
    Then settings: it is refused as SETTINGS_INVALID naming the file, "" and "<reason>"

    Examples:
      | content              | reason             |
      | nothing at all there | No such file       |
      | broken YAML          | mapping            |
      | a list               | expected a mapping |
      | no line              | Field required     |

  Scenario: Secrets are read by name and never shown
    Given settings: a secrets file with "cluster" set to "hush"
    Then settings: the secret "cluster" is "hush"
    And settings: the text forms of the secrets do not contain "hush"

  Scenario: Every setting is on the operators' page
    Then settings: docs/SETTINGS.md lists every setting with its default
