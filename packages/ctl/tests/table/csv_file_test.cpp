#include <catkintally/ctl/table/csv_file.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::ctl;
using kind = catkintally::core::table_error_kind;

// Guards against values that change on their way through a spreadsheet.
TEST_CASE("exported rows are read back unchanged")
{
    const std::vector<std::string> prefixes = {"/",       "/a,b",      R"(/a"b)",
                                               R"(/a\b)", R"(/"",\")", "/a'b"};
    std::vector<table_row> rows = {
        {.id = {.kind = row_kind::domain, .name = "a"}, .values = {"a", "out"}}};
    for (std::size_t i = 0; i < prefixes.size(); ++i)
    {
        const auto name = "s" + std::to_string(i);
        std::vector<std::string> values(column_names(row_kind::service).size(), "");
        values[0] = name;
        values[2] = prefixes[i];
        rows.push_back(
            {.id = {.kind = row_kind::service, .name = name}, .values = std::move(values)});
    }
    rows.push_back(
        {.id = {.kind = row_kind::target, .service = "s0", .name = "t"},
         .values = {"t", "127.0.0.1:1", "a", "2", "100", "in"}});
    const auto text = format_csv(17, rows);
    std::string with_crlf = "\xEF\xBB\xBF";
    for (const char c : text)
    {
        with_crlf += c == '\n' ? ",,,\r\n" : std::string(1, c);
    }
    for (const auto& each : {text, with_crlf})
    {
        const auto read = parse_csv(each);
        CHECK(read.errors.empty());
        CHECK(read.revision == 17);
        REQUIRE(read.rows.size() == rows.size());
        for (std::size_t i = 0; i < rows.size(); ++i)
        {
            CHECK(read.rows[i].id == rows[i].id);
            const auto& names = column_names(rows[i].id.kind);
            for (std::size_t column = 0; column < names.size(); ++column)
            {
                CHECK(read.rows[i].columns.at(names[column]) == rows[i].values[column]);
            }
        }
    }
}

// Guards against malformed files that are partly understood.
TEST_CASE("each malformed line is reported with line and column")
{
    struct row
    {
        const char* text;
        std::size_t line;
        kind expected;
        const char* column;
    };
    const std::vector<row> rows = {
        {"domain,a,in\n", 1, kind::malformed, "kind"},
        {"kind,name,state\nzone,a,in\n", 2, kind::malformed, "kind"},
        {"kind,name,state\n\"domain,a,in\n", 2, kind::malformed, ""},
        {"kind,name,stat\n", 1, kind::unknown_column, "stat"},
        {"kind,name,name\n", 1, kind::unknown_column, "name"},
        {"kind,name,slots\ndomain,a,2\n", 2, kind::unknown_column, "slots"},
        {"kind,name,state\ndomain,a,in,extra\n", 2, kind::unknown_column, ""},
        {"kind,name,state\ndomain,,in\n", 2, kind::missing_column, "name"},
        {"kind,state\ndomain,in\n", 2, kind::missing_column, "name"},
        {"kind,name,address\ntarget,t1,127.0.0.1:1\n", 2, kind::missing_column, "service"},
        {"kind,name,state\ndomain,a,in\n\ndomain,a,out\n", 4, kind::duplicate_name, "name"},
        {"table,x\n", 1, kind::malformed, ""},
        {"table,1\ntable,2\n", 2, kind::malformed, ""}};
    for (const auto& each : rows)
    {
        INFO(each.text);
        const auto read = parse_csv(each.text);
        REQUIRE(read.errors.size() == 1);
        CHECK(read.errors[0].line == each.line);
        CHECK(read.errors[0].error.kind == each.expected);
        CHECK(read.errors[0].error.column == each.column);
    }
}
