#include "fake_store.hpp"

#include <catkintally/ctl/table/table_diff.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::ctl;

// Guards against files that overwrite newer values unseen, remove rows they do not know, or are
// applied although a row in them is wrong.
TEST_CASE("a file changes what it names, and stale or wrong values are reported with their line")
{
    struct row
    {
        const char* name;
        std::string text;
        bool prune;
        std::vector<std::string> edits;
        std::vector<std::string> conflicts;
        std::vector<std::string> errors;
    };
    const std::string targets = "kind,service,name,slots,address,failure_domain\n";
    const std::string domains = "kind,name,state\ndomain,a,in\ndomain,b,in\n";
    const std::string stock = "kind,name\nservice,stock\n";
    // The domains are at version 1 and the service is at version 2.
    const std::vector<row> rows = {
        {"one column",
         "table,2\nkind,service,name,slots\ntarget,stock,t1,3\n",
         false,
         {"target stock/t1: slots: '2' -> '3'"},
         {},
         {}},
        {"a target before its domain and service",
         targets + "target,new,t1,2,127.0.0.9:1,c\nkind,name,path_prefix\nservice,new,/new\n" +
             "kind,name\ndomain,c\n",
         false,
         {"domain c: added: state='in'",
          "service new: added: host='' path_prefix='/new' work_class='lookup' "
          "idempotent_methods='GET HEAD OPTIONS' idempotency_key_header='' queue_limit='200' "
          "ahead='1' deadline_ms='10000' retry_budget_percent='10' probe_budget_per_s='2' "
          "not_run_statuses='' key_retention_ms='600000' max_body_bytes='1048576'",
          "target new/t1: added: address='127.0.0.9:1' failure_domain='c' slots='2' weight='100' "
          "state='in'"},
         {},
         {}},
        {"a stale file, where it differs",
         "table,1\nkind,service,name,slots\n"
         "target,stock,t1,3\ntarget,stock,t2,2\n",
         false,
         {"target stock/t1: slots: '2' -> '3'"},
         {"target stock/t1, column slots: wanted '3' instead of 'the value of revision 1', but the "
          "table now has '2'"},
         {}},
        {"removal",
         "table,2\n" + domains + stock + "kind,service,name\ntarget,stock,t1\n",
         true,
         {"target stock/t2: removed"},
         {},
         {}},
        {"removal by a stale file",
         "table,1\n" + domains + stock + "kind,service,name\ntarget,stock,t1\n",
         true,
         {"target stock/t2: removed"},
         {"target stock/t2: wanted 'no such row' instead of 'the row of revision 1', but the table "
          "now has 'a row of revision 2'"},
         {}},
        {"removal without a revision",
         domains,
         true,
         {},
         {},
         {"f.csv:1: table: missing_column: rows can only be removed by a file with a line "
          "'table,REVISION'"}},
        {"all wrong values are reported",
         targets + "target,stock,t1,0,127.0.0.1:81,a\ntarget,stock,t2,x,nowhere,a\n",
         false,
         {"target stock/t1: slots: '2' -> '0'",
          "target stock/t2: address: '127.0.0.1:82' -> "
          "'nowhere'",
          "target stock/t2: slots: '2' -> 'x'"},
         {},
         {"f.csv:2: target stock/t1, column slots: out_of_range: 0 must be between 1 and 10000",
          "f.csv:3: target stock/t2, column address: bad_address: 'nowhere' must be IPv4:port or "
          "[IPv6]:port with a port from 1 to 65535",
          "f.csv:3: target stock/t2, column slots: wrong_type: must be a non-negative integer"}},
        {"wrong relations are reported",
         targets + "target,stock,t3,2,127.0.0.1:81,c\n",
         false,
         {"target stock/t3: added: address='127.0.0.1:81' failure_domain='c' slots='2' "
          "weight='100' state='in'"},
         {},
         {"f.csv:2: target stock/t3, column address: duplicate_address: target stock/t1 has the "
          "same address, each target needs its own",
          "f.csv:2: target stock/t3, column failure_domain: unknown_failure_domain: 'c' must be "
          "one of the listed failure domains"}}};
    for (const auto& each : rows)
    {
        INFO(each.name);
        fake_store store;
        fill(store);
        std::vector<core::table_error> unreadable;
        const auto document = table_document::load(store.calls().list("").objects, unreadable);
        const auto diff = compare(parse_csv(each.text), document, each.prune);
        std::vector<std::string> edits;
        std::vector<std::string> conflicts;
        std::vector<std::string> errors;
        for (const auto& edit : diff.edits)
        {
            edits.push_back(to_string(edit));
        }
        for (const auto& conflict : diff.conflicts)
        {
            conflicts.push_back(to_string(conflict));
        }
        for (const auto& error : diff.errors)
        {
            errors.push_back(to_string(error, "f.csv"));
        }
        CHECK(errors == each.errors);
        CHECK(conflicts == each.conflicts);
        CHECK(edits == each.edits);
    }
}
