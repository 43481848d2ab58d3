#include "sample_table.hpp"

#include <catkintally/core/table/table_check.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;
using kind = table_error_kind;

// Guards against rows that would break routing, slot counts or domain outages in the instances.
TEST_CASE("each wrong row is found with its kind, row and column")
{
    struct row
    {
        std::function<void(table_snapshot&)> change;
        std::vector<kind> kinds;
        const char* row_name;
        const char* column;
    };
    const auto stock = [](table_snapshot& table) -> service_config&
    { return table.services.at("stock"); };
    const std::vector<row> rows = {
        {[](auto&) {}, {}, "", ""},
        {[&](auto& t) { stock(t).service.path_prefix = "/orders/"; },
         {kind::overlapping_route},
         "service stock",
         "path_prefix"},
        {[&](auto& t) { stock(t).service.path_prefix = "/orders/archive"; }, {}, "", ""},
        {[&](auto& t)
         {
             stock(t).service.path_prefix = "/orders";
             stock(t).service.host = "other.example";
         },
         {},
         "",
         ""},
        {[&](auto& t) { stock(t).service.path_prefix = "stock"; },
         {kind::bad_text},
         "service stock",
         "path_prefix"},
        {[&](auto& t) { stock(t).service.host = "Stock.example:80"; },
         {kind::bad_text},
         "service stock",
         "host"},
        {[&](auto& t) { stock(t).service.ahead = 17; },
         {kind::out_of_range},
         "service stock",
         "ahead"},
        {[&](auto& t) { stock(t).service.deadline_ms = 0; },
         {kind::out_of_range},
         "service stock",
         "deadline_ms"},
        {[&](auto& t) {
             stock(t).service.idempotent_methods = {"GET", "get"};
         },
         {kind::bad_text},
         "service stock",
         "idempotent_methods"},
        {[&](auto& t) {
             stock(t).service.not_run_statuses = {503, 200};
         },
         {kind::out_of_range},
         "service stock",
         "not_run_statuses"},
        {[&](auto& t) { stock(t).service.idempotency_key_header = "a b"; },
         {kind::bad_text},
         "service stock",
         "idempotency_key_header"},
        {[&](auto& t)
         {
             stock(t).service.idempotency_key_header = "idempotency-key";
             stock(t).service.key_retention_ms = 5'000;
         },
         {kind::out_of_range},
         "service stock",
         "key_retention_ms"},
        {[&](auto& t) { stock(t).targets[1].name = "t1"; },
         {kind::duplicate_name},
         "target stock/t1",
         "name"},
        {[&](auto& t) { stock(t).targets[1].name = "T 2"; },
         {kind::bad_text},
         "target stock/T 2",
         "name"},
        {[&](auto& t) { stock(t).targets[1].address = "127.0.0.1:81"; },
         {kind::duplicate_address},
         "target stock/t2",
         "address"},
        {[&](auto& t) { stock(t).targets[1].address = "127.0.0.2:81"; },
         {kind::duplicate_address},
         "target stock/t2",
         "address"},
        {[&](auto& t) { stock(t).targets[1].address = "stock.example:81"; },
         {kind::bad_address},
         "target stock/t2",
         "address"},
        {[&](auto& t) { stock(t).targets[1].failure_domain = "c"; },
         {kind::unknown_failure_domain},
         "target stock/t2",
         "failure_domain"},
        {[&](auto& t) { stock(t).targets[1].slots = 0; },
         {kind::out_of_range},
         "target stock/t2",
         "slots"},
        {[&](auto& t) { t.domains["c"] = {.name = "c d"}; },
         {kind::bad_text},
         "domain c d",
         "name"}};
    for (const auto& each : rows)
    {
        auto table = sample_table();
        each.change(table);
        const auto findings = check_table(table);
        INFO(each.row_name << ' ' << each.column);
        std::vector<kind> kinds;
        for (const auto& finding : findings)
        {
            INFO(to_string(finding));
            kinds.push_back(finding.kind);
            CHECK(finding.row == each.row_name);
            CHECK(finding.column == each.column);
            CHECK_FALSE(finding.reason.empty());
        }
        CHECK(kinds == each.kinds);
    }
}

// Guards against a domain list that names one domain twice with different states.
TEST_CASE("duplicate failure domains and oversized objects are found")
{
    const auto findings = check_domains({{.name = "a"}, {.name = "a", .state = domain_state::out}});
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == kind::duplicate_name);
    CHECK(check_object_size("service s", max_object_bytes).empty());
    CHECK(check_object_size("service s", max_object_bytes + 1).at(0).kind == kind::too_large);
}
