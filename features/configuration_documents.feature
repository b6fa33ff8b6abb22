Feature: An operator's configuration is taken only if all of it can be read as what it is meant to be

  Scenario Outline: configuration documents: <what> is <judgement>
    Then configuration documents: a configuration with <what> is <judgement>

    Examples: as operators write it
      | what                                          | judgement |
      | nothing unusual                               | taken     |
      | a timeoutMs of 1000.0                         | taken     |
      | a field that nobody knows                     | taken     |
      | no limits                                     | taken     |
      | a rate of 2.5 operations a second             | taken     |

    Examples: invalid
      | what                                          | judgement |
      | its last byte cut off                         | refused   |
      | a byte after its end                          | refused   |
      | a timeoutMs of 0                              | refused   |
      | a timeoutMs of 0.5                            | refused   |
      | no timeoutMs                                  | refused   |
      | an undeclared service                        | refused   |
      | two routes at one place                       | refused   |
      | two services of one name                      | refused   |
      | no routes                                     | refused   |

    # What is of another type was read as a number, and a number beyond 64 bits got no answer at all.
    Examples: of another type, or beyond what messages carry
      | what                                          | judgement |
      | a timeoutMs of true                           | refused   |
      | a timeoutMs of "1000"                         | refused   |
      | a version of "7"                              | refused   |
      | a version of true                             | refused   |
      | a version of 2^64                             | refused   |
      | a priority of -2^70                           | refused   |
      | syncReplicas of "1"                           | refused   |
      | a rate of 1e300 operations a second           | refused   |
