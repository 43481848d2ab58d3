#include <catkintally/core/routing/router.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

// Guards against requests that reach a service of another host or of a similar prefix.
TEST_CASE("the service is found by host and longest path prefix")
{
    auto table = std::make_shared<table_snapshot>();
    const auto add = [&](const char* name, const char* host, const char* prefix)
    {
        auto& row = table->services[name].service;
        row.name = name;
        row.host = host;
        row.path_prefix = prefix;
    };
    add("any", "", "/open");
    add("root", "shop.example", "/");
    add("pay", "shop.example", "/pay");
    add("desk", "shop.example", "/pay/desk/");
    add("same", "shop.example", "/pay/");
    const router routes(table);

    struct row
    {
        std::string host;
        std::string path;
        std::string service;
    };
    const auto& sample = GENERATE(values<row>(
        {{"shop.example", "/", "root"},
         {"shop.example", "/pay", "pay"},
         {"shop.example", "/pay/", "pay"},
         {"shop.example", "/payment", "root"},
         {"SHOP.example.:8080", "/pay/x", "pay"},
         {"shop.example", "/pay/desk", "desk"},
         {"shop.example", "/pay/desk/1", "desk"},
         {"shop.example", "/open/a", "root"},
         {"other.example", "/open/a", "any"},
         {"[::1]:80", "/open", "any"},
         {"other.example", "/pay", ""},
         {"", "/open", "any"}}));
    const auto* found = routes.find(sample.host, sample.path);
    CHECK((found == nullptr ? "" : found->service.name) == sample.service);
    CHECK(router().find(sample.host, sample.path) == nullptr);
}
