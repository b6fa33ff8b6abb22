Feature: Operators' declarations
  Files are checked before anything is sent; each problem names file, line, key and reason.

  Scenario: declarations: a declaration is read with its items sorted by name
    Given declarations: the files of an example
    Then declarations: they are read with 2 tenants, 2 groups, 2 token keys and 1 proxies
    And declarations: the order of the items and their division into files make no difference

  Scenario: declarations: omitted values get their defaults
    Given declarations: the files of an example
    Then declarations: the defaults are those of the operators' page

  Scenario: declarations: the examples in the repository and on the operators' page are valid
    Then declarations: each of them is valid

  Scenario Outline: declarations: invalid values are reported with their location
    Given declarations: the files of an example
    When declarations: in "<file>" line <line> becomes "<text>"
    Then declarations: it is refused at "<file>" line <line> for "<key>" because "<reason>"

    Examples: tenants
      | file         | line | text                         | key                              | reason                     |
      | tenants.yaml | 2    | - name: Radio                | tenants.Radio.name               | should match pattern       |
      | tenants.yaml | 3    | max_staleness_ms: -1         | tenants.radio.max_staleness_ms   | greater than or equal to 0 |
      | tenants.yaml | 3    | client_limit: 0              | tenants.radio.client_limit       | greater than or equal to 1 |
      | tenants.yaml | 3    | priority: urgent             | tenants.radio.priority           | expected one of alert      |
      | tenants.yaml | 3    | operation_urgent_percent: 101 | tenants.radio.operation_urgent_percent | less than or equal to 100 |
      | tenants.yaml | 3    | operation_wait_ms: 1501      | tenants.radio.operation_wait_ms  | less than or equal to 1500 |
      | tenants.yaml | 3    | colour: red                  | tenants.radio.colour             | not permitted              |
      | tenants.yaml | 6    | verifier: secret             | tenants.radio.users.0.verifier   | expected SCRAM-SHA-256     |
      | tenants.yaml | 7    | - name: editor               | tenants.radio.users.1.name       | is listed twice            |
      | tenants.yaml | 9    | - name: radio                | tenants.radio                    | already declared at        |
      | tenants.yaml | 10   | users: []                    | tenants.cold.users               | at least 1 item            |
      | tenants.yaml | 1    | tenant:                      | tenant                           | unknown key; expected one  |

    Examples: groups
      | file         | line | text                         | key                              | reason                     |
      | groups.yaml  | 2    | - name: radio/1              | groups.radio/1.name              | should match pattern       |
      | groups.yaml  | 3    | connection_limit: 20         | groups.core.connection_limit     | the budgets (30) and 3     |
      | groups.yaml  | 4    | slots: many                  | groups.core.slots                | valid integer              |
      | groups.yaml  | 5    | admin_secret: ''             | groups.core.admin_secret         | at least 1 character       |
      | groups.yaml  | 6    | promotion: manual            | groups.core.promotion            | controllers                |
      | groups.yaml  | 12   | - name: a                    | groups.core.members.1.name       | a is listed twice          |
      | groups.yaml  | 9    | address: db.example:5432     | groups.core.members.0.address    | not appear to be an IPv4   |
      | groups.yaml  | 9    | address: 10.0.0.1            | groups.core.members.0.address    | expected ip:port           |
      | groups.yaml  | 9    | address: 10.0.0.1:0          | groups.core.members.0.address    | port must not be 0         |
      | groups.yaml  | 9    | address: 0.0.0.0:5432        | groups.core.members.0.address    | must name one host         |
      | groups.yaml  | 13   | address: 10.0.0.1:5432       | groups.core.members.1.address    | belongs to core/a          |
      | groups.yaml  | 17   | - tenant: nobody             | groups.core.access.0.tenant      | is not declared            |
      | groups.yaml  | 21   | connection_budget: 0         | groups.core.access.0.connection_budget | greater than or equal |
      | groups.yaml  | 22   | weight: 1001                 | groups.core.access.0.weight      | less than or equal to 1000 |

    Examples: token keys and proxies
      | file         | line | text                         | key                              | reason                     |
      | others.yaml  | 2    | - key_id: 0                  | token_keys.0.key_id              | greater than or equal to 1 |
      | others.yaml  | 4    | - key_id: 1                  | token_keys.1                     | already declared at        |
      | others.yaml  | 7    | - name: P1                   | proxies.P1.name                  | should match pattern       |
      | others.yaml  | 8    | draining: perhaps            | proxies.p1.draining              | valid boolean              |

  Scenario Outline: declarations: malformed files are refused
    Given declarations: the files of an example
    When declarations: "groups.yaml" holds <content>
    Then declarations: it is refused because "<reason>"

    Examples:
      | content              | reason                             |
      | a list               | groups.yaml:1: expected a mapping  |
      | a tab                | groups.yaml:2: found character     |
      | an open quote        | groups.yaml:                       |
      | a key twice          | groups.yaml:2: duplicate key       |
      | bytes that are no text | groups.yaml: 'utf-8' codec       |
      | a scalar section     | groups.yaml:1: groups: expected a list |
      | a scalar item        | groups.yaml:2: groups.0: Input should be |

  Scenario: declarations: a problem of a whole list is reported at its first item
    Given declarations: the files of an example
    When declarations: in "groups.yaml" line 11 becomes "leaving: true"
    Then declarations: it is refused at "groups.yaml" line 8 for "groups.core.members" because "all members are leaving"

  Scenario: declarations: an empty file declares nothing, and is valid
    Given declarations: the files of an example
    When declarations: "groups.yaml" holds nothing
    Then declarations: they are read with 2 tenants, 0 groups, 2 token keys and 1 proxies

  Scenario: declarations: all problems are reported at once
    Given declarations: the files of an example
    When declarations: in "groups.yaml" line 4 becomes "slots: 0"
    And declarations: in "tenants.yaml" line 3 becomes "client_limit: 0"
    Then declarations: it is refused with 2 problems, one per line
