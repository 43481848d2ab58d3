#include "sample_table.hpp"

#include <catkintally/core/table/column.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using kind = table_error_kind;
namespace leaf = boost::leaf;

namespace
{

/// A service whose every column differs from its default.
service_config full_service()
{
    return {
        .service =
            {.name = "stock",
             .host = "stock.example",
             .path_prefix = "/a,b\"c",
             .work = work_class::archive,
             .idempotent_methods = {"GET", "PUT"},
             .idempotency_key_header = "idempotency-key",
             .queue_limit = 1,
             .ahead = 2,
             .deadline_ms = 3,
             .retry_budget_percent = 4,
             .probe_budget_per_s = 5,
             .not_run_statuses = {409, 503},
             .key_retention_ms = 6000,
             .max_body_bytes = 7},
        .targets =
            {{.name = "t1",
              .address = "[::1]:81",
              .failure_domain = "a",
              .slots = 8,
              .weight = 9,
              .state = target_admin_state::draining}},
        .version = 11};
}

template <class Row>
void check_text_round_trip(const Row& row)
{
    Row copy;
    for (const auto& each : columns_of<Row>())
    {
        INFO(each.name);
        CHECK(column_to_text(row, each) != column_to_text(copy, each));
        CHECK_FALSE(set_column_from_text(copy, each, column_to_text(row, each)).has_value());
    }
    CHECK(copy == row);
}

} // namespace

// Guards against a column that is lost or changed on its way through the store or a CSV file.
TEST_CASE("every column survives storage and text unchanged")
{
    const auto config = full_service();
    const store_object object{
        .key = "table/service/stock",
        .version = 11,
        .value =
            encode(stored_service{.config = config, .change_id = "id", .unknown_columns = {}})};
    const auto decoded = leaf::try_handle_all(
        [&] { return decode_service(object); },
        [](const table_error& error) -> stored_service
        {
            FAIL(to_string(error));
            return {};
        },
        []() -> stored_service { return {}; });
    CHECK(decoded.config == config);
    CHECK(decoded.change_id == "id");
    check_text_round_trip(config.service);
    check_text_round_trip(config.targets[0]);
    check_text_round_trip(domain_row{.name = "a", .state = domain_state::out});
}

// Guards against values that are cut, rounded or reinterpreted instead of refused.
TEST_CASE("text that a column cannot hold is refused")
{
    struct row
    {
        const char* column;
        const char* text;
        kind expected;
    };
    const std::vector<row> rows = {
        {"ahead", "", kind::wrong_type},
        {"ahead", "1.5", kind::wrong_type},
        {"ahead", "-1", kind::wrong_type},
        {"ahead", " 1", kind::wrong_type},
        {"ahead", "99999999999", kind::out_of_range},
        {"not_run_statuses", "503 x", kind::wrong_type},
        {"not_run_statuses", "503 503", kind::bad_text},
        {"work_class", "urgent", kind::bad_text},
        {"host", "UPPER", kind::bad_text}};
    for (const auto& each : rows)
    {
        INFO(each.column << '=' << each.text);
        service_row service;
        const auto wrong =
            set_column_from_text(service, *find_column<service_row>(each.column), each.text);
        REQUIRE(wrong.has_value());
        CHECK(wrong->kind == each.expected);
    }
}

// Guards against stored objects that are half understood.
TEST_CASE("malformed objects are refused with row and column")
{
    struct row
    {
        const char* value;
        kind expected;
        const char* row_name;
    };
    const std::vector<row> rows = {
        {"{", kind::malformed, "object table/service/s"},
        {"[]", kind::malformed, "object table/service/s"},
        {"{}", kind::missing_column, "service ?"},
        {R"({"service":{"name":7}})", kind::missing_column, "service ?"},
        {R"({"service":{"name":"s"}})", kind::malformed, "object table/service/s"},
        {R"({"service":{"name":"x"},"targets":[]})", kind::malformed, "object table/service/s"},
        {R"({"service":{"name":"s","ahead":"1"},"targets":[]})", kind::wrong_type, "service s"},
        {R"({"service":{"name":"s","ahead":-1},"targets":[]})", kind::out_of_range, "service s"},
        {R"({"service":{"name":"s","ahead":1.5},"targets":[]})", kind::out_of_range, "service s"},
        {R"({"service":{"name":"s"},"targets":[1]})", kind::missing_column, "target s/?"},
        {R"({"service":{"name":"s"},"targets":[{"name":"t","slots":0}]})", kind::out_of_range,
         "target s/t"}};
    for (const auto& each : rows)
    {
        INFO(each.value);
        const auto error = leaf::try_handle_all(
            [&]() -> leaf::result<table_error>
            {
                BOOST_LEAF_CHECK(
                    decode_service({.key = "table/service/s", .version = 1, .value = each.value}));
                return table_error{};
            },
            [](const table_error& found) { return found; }, [] { return table_error{}; });
        CHECK(error.kind == each.expected);
        CHECK(error.row == each.row_name);
    }
}
