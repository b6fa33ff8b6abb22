"""Names of built-in PostgreSQL functions that write nothing and leave no session state.

A call of any other function makes a statement a write.
"""

from __future__ import annotations

_READ_ONLY_FUNCTIONS = """
    abs acos acosd age array_agg array_append array_cat array_dims array_fill array_length
    array_lower array_ndims array_position array_positions array_prepend array_remove
    array_replace array_to_json array_to_string array_upper ascii asin asind atan atan2 atan2d
    atand avg bit_and bit_length bit_or bit_xor bool_and bool_or btrim cardinality cast cbrt ceil
    ceiling char_length character_length chr clock_timestamp coalesce concat concat_ws convert
    convert_from convert_to corr cos cosd cot cotd count covar_pop covar_samp cume_dist
    current_catalog current_database current_date current_query current_role current_schema
    current_schemas current_setting current_time current_timestamp current_user date date_bin
    date_part date_trunc decode degrees dense_rank div encode every exists exp extract factorial
    first_value floor format format_type gcd generate_series generate_subscripts
    get_bit get_byte greatest group_term grouping has_column_privilege has_database_privilege
    has_function_privilege has_schema_privilege has_sequence_privilege has_table_privilege
    host hostmask inet_client_addr inet_server_addr initcap isfinite json_agg json_array_elements
    json_array_elements_text json_array_length json_build_array json_build_object json_each
    json_each_text json_extract_path json_extract_path_text json_object json_object_agg
    json_object_keys json_populate_record json_populate_recordset json_strip_nulls json_to_record
    json_to_recordset json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text
    jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
    jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_agg
    jsonb_object_keys jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array
    jsonb_path_query_first jsonb_populate_record jsonb_pretty jsonb_set jsonb_strip_nulls
    jsonb_to_record jsonb_to_recordset jsonb_typeof justify_days justify_hours justify_interval
    lag last_value lcm lead least left length ln localtime localtimestamp log log10 lower
    lower_inc lower_inf lpad ltrim make_date make_interval make_time make_timestamp
    make_timestamptz masklen max md5 min mod mode netmask network normalize now nth_value ntile
    nullif num_nonnulls num_nulls numnode obj_description octet_length overlay parse_ident
    percent_rank percentile_cont percentile_disc pg_backend_pid pg_client_encoding
    pg_column_size pg_conf_load_time pg_current_wal_lsn pg_database_size pg_encoding_to_char
    pg_get_constraintdef pg_get_expr pg_get_functiondef pg_get_indexdef pg_get_keywords
    pg_get_serial_sequence pg_get_userbyid pg_get_viewdef pg_indexes_size pg_is_in_recovery
    pg_last_wal_receive_lsn pg_last_wal_replay_lsn pg_last_xact_replay_timestamp
    pg_postmaster_start_time pg_relation_size pg_size_pretty pg_sleep pg_sleep_for
    pg_table_is_visible pg_table_size pg_tablespace_size pg_total_relation_size pg_type_is_visible
    pg_typeof pg_wal_lsn_diff phraseto_tsquery pi plainto_tsquery position power quote_ident
    quote_literal quote_nullable radians random range_agg range_merge rank regexp_count
    regexp_instr regexp_like regexp_match regexp_matches regexp_replace regexp_split_to_array
    regexp_split_to_table regexp_substr regr_avgx regr_avgy regr_count regr_intercept regr_r2
    regr_slope regr_sxx regr_sxy regr_syy repeat replace reverse right round row row_number
    row_to_json rpad rtrim scale session_user sha224 sha256 sha384 sha512 shobj_description sign
    sin sind split_part sqrt starts_with statement_timestamp stddev stddev_pop stddev_samp
    string_agg string_to_array string_to_table strpos substr substring sum tan tand
    timeofday to_char to_date to_hex to_json to_jsonb to_number to_regclass to_regtype
    to_timestamp to_tsquery to_tsvector transaction_timestamp translate trim trim_array trunc
    ts_headline ts_rank ts_rank_cd tsvector_to_array txid_snapshot_xmax unnest upper upper_inc
    upper_inf user uuid_generate_v4 gen_random_uuid var_pop var_samp variance version
    websearch_to_tsquery width_bucket xmlagg
"""
READ_ONLY_FUNCTIONS = frozenset(_READ_ONLY_FUNCTIONS.split())

_SESSION_LOCK_FUNCTIONS = """
    pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock pg_try_advisory_lock_shared
    pg_advisory_unlock pg_advisory_unlock_shared
"""
SESSION_LOCK_FUNCTIONS = frozenset(_SESSION_LOCK_FUNCTIONS.split())

SET_CONFIG_FUNCTION = "set_config"
NOTIFY_FUNCTIONS = frozenset({"pg_notify"})

# Words that may precede an opening parenthesis without being a function call.
_WORDS_BEFORE_PARENTHESIS = """
    all and any array as between bigint bit both by case char character check conflict cross cube
    decimal distinct else end escape except explain filter float for from full group having
    ilike in inner int integer intersect interval into is join lateral leading left like limit
    materialized natural not numeric of offset on or order ordinality outer over partition
    precision primary range recursive references returning right rollup rows select set sets
    similar some table tablesample then time timestamp timestamptz timetz trailing union unique
    using values varbit varchar varying when where window with within
"""
WORDS_BEFORE_PARENTHESIS = frozenset(_WORDS_BEFORE_PARENTHESIS.split())
