#include <catkintally/core/targets/parse_limit_statement.hpp>
#include <catkintally/entry/http/header_rules.hpp>
#include <catkintally/entry/targets/load_field.hpp>
#include <catkintally/entry/targets/product_target_dialect.hpp>

namespace catkintally::entry
{

core::target_dialect product_target_dialect()
{
    core::target_dialect dialect;
    // A service's table row says which statuses are refusals, so "catkintally-shed" is not read.
    dialect.known_response_headers = {
        dialect.request_id_header, std::string(load_header), std::string(limit_header),
        "catkintally-shed"};
    dialect.load = parse_load_field;
    dialect.limit = [](const core::stored_answer& answer)
    { return core::parse_limit_statement(answer.headers, limit_header); };
    return dialect;
}

} // namespace catkintally::entry
