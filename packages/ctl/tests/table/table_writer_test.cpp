#include "fake_store.hpp"

#include <catkintally/ctl/table/table_writer.hpp>

#include <catch2/catch.hpp>

using namespace catkintally;
using namespace catkintally::ctl;

namespace
{

row_id target(const std::string& name)
{
    return {.kind = row_kind::target, .service = "stock", .name = name};
}

table_edit set_state(const std::string& name, const std::string& from, const std::string& to)
{
    return {.row = target(name), .column = "state", .seen = from, .wanted = to};
}

table_edit set_slots(const std::string& from, const std::string& to)
{
    return {.row = target("t1"), .column = "slots", .seen = from, .wanted = to};
}

} // namespace

// Guards against lost updates between operators, writes that are reported wrongly when their answer
// is lost, and repeated writes that undo what another operator did in between.
TEST_CASE("a write either takes effect once or is reported as what it is")
{
    using enum put_fault;
    using outcome = write_outcome;
    struct row
    {
        const char* name;
        std::deque<put_fault> faults;
        std::optional<table_edit> before;
        std::optional<table_edit> after;
        outcome expected;
        bool answer_lost;
        const char* state;
        const char* slots;
        std::size_t conflicts;
        int puts;
    };
    const auto drain = set_state("t1", "in", "draining");
    const auto undrain = set_state("t1", "draining", "in");
    const std::vector<row> rows = {
        {"nothing fails", {}, {}, {}, outcome::written, false, "draining", "2", 0, 1},
        {"another column was changed",
         {},
         set_slots("2", "5"),
         {},
         outcome::written,
         false,
         "draining",
         "5",
         0,
         2},
        {"the same value was set", {}, drain, {}, outcome::written, false, "draining", "2", 0, 1},
        {"the row was removed",
         {},
         table_edit{
             .kind = edit_kind::remove,
             .row = target("t1"),
             .values = {"t1", "127.0.0.1:81", "a", "2", "100", "in"}},
         {},
         outcome::conflict,
         false,
         "no row",
         "no row",
         1,
         1},
        {"the answer was lost",
         {lost_answer},
         {},
         {},
         outcome::written,
         true,
         "draining",
         "2",
         0,
         1},
        {"the call was lost", {lost_call}, {}, {}, outcome::written, false, "draining", "2", 0, 2},
        {"the effect came late",
         {late_effect},
         {},
         {},
         outcome::written,
         true,
         "draining",
         "2",
         0,
         2},
        {"lost, and undone by another operator",
         {lost_answer},
         {},
         undrain,
         outcome::unknown,
         false,
         "in",
         "2",
         0,
         1},
        {"lost, and another column changed afterwards",
         {lost_answer},
         {},
         set_slots("2", "5"),
         outcome::unknown,
         false,
         "draining",
         "5",
         0,
         1},
        {"refused for a while",
         {refused, refused},
         {},
         {},
         outcome::written,
         false,
         "draining",
         "2",
         0,
         3},
        {"refused for long",
         std::deque<put_fault>(100, refused),
         {},
         {},
         outcome::unavailable,
         false,
         "in",
         "2",
         0,
         8},
        {"no answers at all",
         std::deque<put_fault>(100, lost_call),
         {},
         {},
         outcome::unknown,
         false,
         "in",
         "2",
         0,
         8}};
    for (const auto& each : rows)
    {
        INFO(each.name);
        fake_store store;
        fill(store);
        store.faults = each.faults;
        if (each.before)
        {
            store.before_put = [&] { store.edit(*each.before); };
        }
        if (each.after)
        {
            store.after_put = [&] { store.edit(*each.after); };
        }
        const auto report = table_writer(store.calls()).write({drain});
        CHECK(to_string(report.outcome) == to_string(each.expected));
        CHECK(store.value(target("t1"), "state") == each.state);
        CHECK(store.value(target("t1"), "slots") == each.slots);
        CHECK(report.conflicts.size() == each.conflicts);
        CHECK(store.puts == each.puts);
        const bool lost = !report.written.empty() && report.written[0].answer_lost;
        CHECK(lost == each.answer_lost);
        CHECK(report.not_written.empty() == (each.expected == outcome::written));
        CHECK(report.findings_afterwards.empty());
    }
}

// Guards against a conflict that does not tell the second operator what happened.
TEST_CASE("the second operator's conflict names row, column and both values")
{
    fake_store store;
    fill(store);
    store.before_put = [&] { store.edit(set_slots("2", "5")); };
    const auto report = table_writer(store.calls()).write({set_slots("2", "3")});
    CHECK(report.outcome == write_outcome::conflict);
    REQUIRE(report.conflicts.size() == 1);
    CHECK(
        to_string(report.conflicts[0]) ==
        "target stock/t1, column slots: wanted '3' instead of '2', but the table now has '5'");
    CHECK(store.value(target("t1"), "slots") == "5");
}

// Guards against a table that is half changed although part of the change is wrong.
TEST_CASE("edits that would make the table incorrect are refused before any write")
{
    const auto values = [](const char* address, const char* domain)
    { return std::vector<std::string>{"t3", address, domain, "2", "100", "in"}; };
    const table_edit good_domain{
        .kind = edit_kind::add,
        .row = {.kind = row_kind::domain, .name = "c"},
        .values = {"c", "in"}};
    const std::vector<table_edit> wrong = {
        {.kind = edit_kind::add, .row = target("t3"), .values = values("127.0.0.1:81", "c")},
        {.kind = edit_kind::add, .row = target("t3"), .values = values("127.0.0.1:83", "d")},
        {.kind = edit_kind::add, .row = target("t3"), .values = values("nowhere", "c")},
        {.kind = edit_kind::remove,
         .row = {.kind = row_kind::domain, .name = "a"},
         .values = {"a", "in"}},
        {.kind = edit_kind::add,
         .row = {.kind = row_kind::target, .service = "none", .name = "t3"},
         .values = values("127.0.0.1:83", "c")}};
    for (const auto& each : wrong)
    {
        INFO(to_string(each));
        fake_store store;
        fill(store);
        const auto report = table_writer(store.calls()).write({each, good_domain});
        CHECK(report.outcome == write_outcome::invalid);
        CHECK(report.errors.size() == 1 + (each.kind == edit_kind::remove));
        CHECK(store.puts == 0);
    }
}

// Guards against intermediate states in which a target refers to a domain that does not exist yet.
TEST_CASE("domains are written before the targets that need them and removed after them")
{
    fake_store store;
    fill(store);
    const auto move = [](const std::string& name) -> table_edit
    { return {.row = target(name), .column = "failure_domain", .seen = "a", .wanted = "c"}; };
    const auto report = table_writer(store.calls())
                            .write(
                                {{.kind = edit_kind::remove,
                                  .row = {.kind = row_kind::domain, .name = "a"},
                                  .values = {"a", "in"}},
                                 move("t1"),
                                 {.kind = edit_kind::add,
                                  .row = {.kind = row_kind::domain, .name = "c"},
                                  .values = {"c", "in"}},
                                 move("t2")});
    CHECK(report.outcome == write_outcome::written);
    REQUIRE(report.written.size() == 3);
    CHECK(report.written[0].key == core::domains_key);
    CHECK(report.written[1].key == core::service_key("stock"));
    CHECK(report.written[2].key == core::domains_key);
    CHECK(report.findings_afterwards.empty());
}

// Guards against two correct changes that are not correct together and go unnoticed.
TEST_CASE("a table that became incorrect through another operator is reported")
{
    fake_store store;
    fill(store);
    store.after_put = [&]
    {
        store.edit(
            {.kind = edit_kind::remove,
             .row = {.kind = row_kind::domain, .name = "b"},
             .values = {"b", "in"}});
    };
    const auto report =
        table_writer(store.calls())
            .write({{.row = target("t1"), .column = "failure_domain", .seen = "a", .wanted = "b"}});
    CHECK(report.outcome == write_outcome::written);
    REQUIRE(report.findings_afterwards.size() == 1);
    CHECK(report.findings_afterwards[0].kind == core::table_error_kind::unknown_failure_domain);
}

// Guards against a program that drops columns which a newer program has written.
TEST_CASE("objects with unknown columns are not written")
{
    fake_store store;
    fill(store);
    store.objects.put(
        core::domains_key, R"({"domains":[{"name":"a","colour":"red"}]})", std::nullopt);
    const auto report = table_writer(store.calls())
                            .write(
                                {{.row = {.kind = row_kind::domain, .name = "a"},
                                  .column = "state",
                                  .seen = "in",
                                  .wanted = "out"}});
    CHECK(report.outcome == write_outcome::invalid);
    REQUIRE(report.errors.size() == 1);
    CHECK(report.errors[0].kind == core::table_error_kind::unknown_column);
    CHECK(store.puts == 0);
}
