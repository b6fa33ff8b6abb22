Feature: session: which statements may run on a replica

  Scenario Outline: session: <statement>
    Then session: "<statement>" is a <kind>

    Examples: reads
      | kind | statement                                                       |
      | read | SELECT 1                                                        |
      | read | select title from show where id = $1                            |
      | read | VALUES (1), (2)                                                 |
      | read | TABLE show                                                      |
      | read | (SELECT 1) UNION ALL (SELECT 2)                                 |
      | read | WITH a AS (SELECT 1) SELECT * FROM a                            |
      | read | WITH RECURSIVE a(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM a) SELECT n FROM a |
      | read | SELECT count(*), max(id) FROM show WHERE lower(title) LIKE 'a%' |
      | read | SELECT pg_catalog.now()                                         |
      | read | SELECT 'insert into a; delete from b'                           |
      | read | SELECT $$delete from a$$                                        |
      | read | SELECT "delete" FROM "update"                                   |
      | read | SELECT 1 -- ; delete from a                                     |
      | read | SELECT /* ; delete from a */ 1                                  |
      | read | SELECT current_setting('timezone')                              |
      | read | SELECT a FROM t WHERE b IN (1, 2, 3)                            |
      | read | SELECT extract(year FROM d), cast(x AS int) FROM t              |
      | read | SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM t     |
      | read | EXPLAIN DELETE FROM a                                           |
      | read | EXPLAIN (VERBOSE) SELECT 1                                      |
      | read | EXPLAIN ANALYZE SELECT 1                                        |
      | read | SHOW timezone                                                   |
      | read | SELECT 1; SELECT 2                                              |

    Examples: writes, also those that look like reads
      | kind  | statement                                                      |
      | write | INSERT INTO a VALUES (1)                                       |
      | write | UPDATE a SET b = 1                                             |
      | write | DELETE FROM a                                                  |
      | write | MERGE INTO a USING b ON a.i = b.i WHEN MATCHED THEN DELETE     |
      | write | TRUNCATE a                                                     |
      | write | CREATE TABLE a (b int)                                         |
      | write | CREATE TABLE a AS SELECT 1                                     |
      | write | SELECT * INTO a FROM b                                         |
      | write | SELECT * FROM a FOR UPDATE                                     |
      | write | SELECT * FROM a FOR NO KEY UPDATE SKIP LOCKED                  |
      | write | SELECT * FROM a FOR SHARE                                      |
      | write | SELECT * FROM (SELECT * FROM a FOR UPDATE) AS b                |
      | write | WITH x AS (INSERT INTO a VALUES (1) RETURNING b) SELECT * FROM x |
      | write | WITH x AS (DELETE FROM a RETURNING b) SELECT * FROM x          |
      | write | WITH x AS (SELECT 1) UPDATE a SET b = 1                        |
      | write | WITH x AS MATERIALIZED (SELECT 1), y AS (UPDATE a SET b = 1 RETURNING *) SELECT 1 |
      | write | SELECT nextval('s')                                            |
      | write | SELECT setval('s', 1)                                          |
      | write | SELECT my_function()                                           |
      | write | SELECT public.now()                                            |
      | write | SELECT "Now"()                                                 |
      | write | SELECT lower(my_function())                                    |
      | write | SELECT 1 WHERE EXISTS (SELECT my_function())                   |
      | write | SELECT * FROM my_function()                                    |
      | write | SELECT * FROM a, LATERAL my_function(a.b)                      |
      | write | SELECT a FROM t ORDER BY my_function()                         |
      | write | SELECT my_function /* x */ (1)                                 |
      | write | VALUES (my_function())                                         |
      | write | EXPLAIN ANALYZE DELETE FROM a                                  |
      | write | EXPLAIN (COSTS off, ANALYZE) INSERT INTO a VALUES (1)          |
      | write | EXPLAIN ANALYZE SELECT my_function()                           |
      | write | EXPLAIN (ANALYZE) CREATE TABLE a AS SELECT 1                   |
      | write | DO $$BEGIN DELETE FROM a; END$$                                |
      | write | CALL clean_up()                                                |
      | write | SELECT 1; DELETE FROM a                                        |
      | write | SELECT 1; SELECT my_function()                                 |
      | write | VACUUM                                                         |
      | write | REFRESH MATERIALIZED VIEW a                                    |
      | write | LOCK TABLE a                                                   |
      | write | DECLARE c CURSOR FOR SELECT 1                                  |
      | write | SELECT lo_create(1)                                            |
      | write | SELECT pg_advisory_xact_lock(1)                                |
      | write | SELECT set_config('timezone', 'UTC', true)                     |
      | write | NO SUCH WORD                                                   |
      | write | SELECT 'not finished                                           |
      | write | SELECT /* /* nested */ */ 1                                    |
      | write | SELECT 1 \ 2                                                   |

    Examples: refused
      | kind    | statement                                                    |
      | refusal | COPY a FROM STDIN                                            |
      | refusal | COPY (SELECT 1) TO STDOUT                                    |
      | refusal | LISTEN a                                                     |
      | refusal | NOTIFY a                                                     |
      | refusal | SELECT pg_notify('a', 'b')                                   |
      | refusal | SELECT pg_advisory_lock(1)                                   |
      | refusal | SELECT pg_catalog.pg_try_advisory_lock(1)                    |
      | refusal | SELECT "pg_advisory_lock"(1)                                 |
      | refusal | CREATE TEMP TABLE a (b int)                                  |
      | refusal | SELECT 1 INTO TEMPORARY a                                    |
      | refusal | DECLARE c CURSOR WITH HOLD FOR SELECT 1                      |
      | refusal | PREPARE TRANSACTION 'a'                                      |
      | refusal | COMMIT PREPARED 'a'                                          |
      | refusal | SET SESSION AUTHORIZATION a                                  |
      | refusal | SET standard_conforming_strings = off                        |
      | refusal | SELECT set_config('timezone', 'UTC', false)                  |
      | refusal | SELECT pg_catalog.set_config('search_path', '', 't')         |
      | refusal | LOAD 'a'                                                     |

  Scenario Outline: session: <text> with the hint <hint> is sent as a <access>
    Then session: "<text>" under the hint <hint> is sent as a <access>

    Examples:
      | text                     | hint    | access |
      | SELECT 1                 | primary | write  |
      | SELECT my_function()     | replica | read   |
      | SELECT my_function()     | none    | write  |
      | INSERT INTO a VALUES (1) | replica | write  |
      | SELECT 1 FOR UPDATE      | replica | write  |
      | DO 'x'                   | replica | write  |

  Scenario: session: a write is never classified as a read, however it is wrapped
    Then session: 600 writes in generated wrappings are not classified as reads

  Scenario: session: the same check fails with the safeguards off
    Then session: the check finds a write classified as a read once unknown functions are trusted

  Scenario: session: the cache agrees with the classifier, whatever texts it holds
    Then session: for 600 generated pairs of texts the cache agrees with the classifier

  Scenario: session: the cache stays within its bounds and shares entries between texts of one shape
    When session: 10000 texts that differ only in literals are looked up
    Then session: 1 text was parsed and the cache holds at most 4096
    When session: 10000 texts of different shapes are looked up
    Then session: the cache holds at most 4096
