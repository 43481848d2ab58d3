#pragma once

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>

namespace catkintally::stand_ins
{

/// Method, decoded path and query parameters of a request.
class http_question
{
public:
    explicit http_question(evhttp_request* request)
        : method(evhttp_request_get_command(request))
    {
        const auto* uri = evhttp_request_get_evhttp_uri(request);
        const char* raw_path = evhttp_uri_get_path(uri);
        std::size_t size = 0;
        if (char* decoded = evhttp_uridecode(raw_path == nullptr ? "" : raw_path, 0, &size))
        {
            path.assign(decoded, size);
            std::free(decoded);
        }
        const char* query = evhttp_uri_get_query(uri);
        evhttp_parse_query_str(query == nullptr ? "" : query, &parameters_);
    }
    ~http_question() { evhttp_clear_headers(&parameters_); }
    http_question(const http_question&) = delete;
    http_question& operator=(const http_question&) = delete;

    /// Query parameter, empty if absent.
    [[nodiscard]] std::string text(const char* name) const
    {
        const char* found = evhttp_find_header(&parameters_, name);
        return found == nullptr ? "" : found;
    }

    /// Query parameter as a number; nothing if it is absent or not a number.
    [[nodiscard]] std::optional<std::uint64_t> number(const char* name) const
    {
        const std::string found = text(name);
        std::uint64_t value = 0;
        const auto* end = found.data() + found.size();
        const auto parsed = std::from_chars(found.data(), end, value);
        return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value) : std::nullopt;
    }

    evhttp_cmd_type method;
    std::string path;

private:
    evkeyvalq parameters_{};
};

/// Whole body of a request.
inline std::string body_of(evhttp_request* request)
{
    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

/// Sends a whole JSON answer, with the era in its header unless it is empty.
inline void send_answer(
    evhttp_request* request, int status, const std::string& body, const std::string& era = {})
{
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", "application/json");
    if (!era.empty())
    {
        evhttp_add_header(headers, "Store-Era", era.c_str());
    }
    evbuffer* output = evbuffer_new();
    evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, output);
    evbuffer_free(output);
}

} // namespace catkintally::stand_ins
