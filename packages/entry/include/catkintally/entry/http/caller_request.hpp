#pragma once

#include <catkintally/entry/http/http_head.hpp>
#include <catkintally/entry/http/shared_body.hpp>

#include <string>

namespace catkintally::entry
{

/// A complete, valid request of a caller.
struct caller_request
{
    std::string method;
    /// Path and query.
    std::string uri;
    /// Path without query.
    std::string path;
    std::string host;
    /// IP address of the caller.
    std::string address;
    header_list fields;
    shared_body body;
};

} // namespace catkintally::entry
