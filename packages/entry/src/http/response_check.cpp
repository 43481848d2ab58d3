#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/response_check.hpp>

#include <array>
#include <cstddef>

namespace catkintally::entry
{

std::string_view response_head_result_name(response_head_result result)
{
    constexpr auto names = std::to_array<std::string_view>(
        {"final_head", "final_chunked", "interim", "malformed", "conflicting_length",
         "length_with_encoding", "unknown_encoding", "close_delimited", "unexpected_upgrade"});
    return names.at(static_cast<std::size_t>(result));
}

response_head_result check_response_head(std::string_view text, bool head_request)
{
    const auto head = parse_http_head(text);
    if (!head)
    {
        return response_head_result::malformed;
    }

    // Status line: "HTTP/1.0 NNN" or "HTTP/1.1 NNN", and an optional reason phrase.
    const std::string_view line = head->start_line;
    const bool is_known_version = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    const auto status = is_known_version ? parse_number(line.substr(9, 3)) : std::nullopt;
    if (!status || *status < 100 || *status > 599 || (line.size() > 12 && line[12] != ' '))
    {
        return response_head_result::malformed;
    }
    if (*status == 101)
    {
        return response_head_result::unexpected_upgrade;
    }
    if (*status < 200)
    {
        return response_head_result::interim;
    }

    // The end of the body must be determined before the body is read.
    const body_framing framing = parse_body_framing(head->fields);
    if (framing.content_length_count > 1 || (framing.content_length_count == 1 && !framing.length))
    {
        return response_head_result::conflicting_length;
    }
    if (framing.content_length_count > 0 && framing.transfer_encoding_count > 0)
    {
        return response_head_result::length_with_encoding;
    }
    if (framing.transfer_encoding_count > 1 ||
        (framing.transfer_encoding_count == 1 && !framing.chunked))
    {
        return response_head_result::unknown_encoding;
    }
    const bool has_no_body = head_request || *status == 204 || *status == 304;
    if (!has_no_body && framing.content_length_count == 0 && framing.transfer_encoding_count == 0)
    {
        return response_head_result::close_delimited;
    }
    return framing.chunked && !has_no_body ? response_head_result::final_chunked
                                           : response_head_result::final_head;
}

} // namespace catkintally::entry
