#include <catkintally/core/routing/router.hpp>

#include <catch2/catch.hpp>

using namespace catkintally::core;

// Guards against requests routed to a service of another host or of a similar prefix.
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
    CHECK((found == nullptr ? "" : found->destinations.at(0).service) == sample.service);
    CHECK(router().find(sample.host, sample.path) == nullptr);
}

// Guards against a route that matches a path that does not start with its prefix, and against a
// service without a path prefix that is reachable other than through a route.
TEST_CASE("explicit routes match their prefix literally")
{
    auto table = std::make_shared<table_snapshot>();
    table->services["backend"].service.path_prefix = "";
    for (const char* prefix : {"/a/", "/a/b/", "/ab/c/"})
    {
        route_row added;
        added.name = prefix;
        added.host = "shop.example";
        added.path_prefix = prefix;
        added.destinations = {{.service = "backend"}};
        table->routes.push_back(added);
    }
    const router routes(table);

    struct row
    {
        std::string path;
        std::string route;
    };
    const auto& sample = GENERATE(values<row>(
        {{"/", ""},
         {"/a", ""},
         {"/a/", "/a/"},
         {"/a/x", "/a/"},
         {"/a/b", "/a/"},
         {"/a/b/", "/a/b/"},
         {"/a/bc", "/a/"},
         {"/ab/", ""},
         {"/ab/c/d/e", "/ab/c/"}}));
    INFO(sample.path);
    const auto* found = routes.find("shop.example", sample.path);
    CHECK((found == nullptr ? "" : found->name) == sample.route);
}
