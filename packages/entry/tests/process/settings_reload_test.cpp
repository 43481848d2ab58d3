#include <catkintally/core/time/manual_timer_service.hpp>
#include <catkintally/entry/process/process_parts.hpp>
#include <catkintally/entry/process/settings_reload.hpp>
#include <catkintally/runtime/settings/settings_loader.hpp>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>

#include <unistd.h>

using namespace catkintally;
using namespace catkintally::entry;
using namespace std::chrono_literals;

namespace
{

std::string settings_with(const std::string& addresses)
{
    return "[instance]\nid = a1\nfailure_domain = east\n[platform]\naddresses = " + addresses +
           "\n";
}

/// A settings file, and a process that uses the store addresses of its latest version.
struct reload_fixture
{
    reload_fixture()
    {
        std::filesystem::create_directories(directory);
        write(settings_with("127.0.0.1:1"));
        const auto loaded = runtime::load_settings(path);
        REQUIRE(loaded);
        reload.emplace(settings_reload_options{
            .timers = &timers,
            .path = path,
            .current = loaded.value(),
            .apply = [this](const runtime::settings& values)
            {
                const auto used = api_options(values.platform).addresses;
                addresses.clear();
                for (const core::endpoint& each : used)
                {
                    addresses.push_back(core::to_string(each));
                }
                return std::vector<std::string>{"platform.addresses"};
            }});
    }
    ~reload_fixture() { std::filesystem::remove_all(directory); }
    reload_fixture(const reload_fixture&) = delete;
    reload_fixture& operator=(const reload_fixture&) = delete;

    void write(const std::string& text) const { std::ofstream(path) << text; }

    std::string directory =
        std::filesystem::temp_directory_path() / ("catkintally-reload-" + std::to_string(getpid()));
    std::string path = directory + "/a1.ini";
    core::manual_timer_service timers;
    std::vector<std::string> addresses{"127.0.0.1:1"};
    std::optional<settings_reload> reload;
};

} // namespace

// Guards against a process that ends, together with all its requests, because SIGHUP or a change of
// the file brings settings that cannot be used.
TEST_CASE("settings that cannot be used leave the process as it is")
{
    const bool signalled = GENERATE(true, false);
    const std::string text = GENERATE(
        std::string(), std::string("\0\xff\xfe[", 4), std::string("[instance"),
        std::string("instance\n"), std::string(1'000'000, '['), settings_with(""),
        settings_with("127.0.0.1"), settings_with("127.0.0.1:80x"), settings_with("127.0.0.1:+80"),
        settings_with("127.0.0.1:99999999999999999999"), settings_with("127.0.0.1:1, ::1:80"),
        settings_with("0127.0.0.1:1"), settings_with("[fe80::1%lo]:80"),
        settings_with("127.0.0.1:2") + "[stop]\ngrace_ms = -1\n",
        settings_with("127.0.0.1:2") + "[instance]\nid = b\n");
    INFO("signalled " << signalled << ": " << text.substr(0, 200));
    reload_fixture fixture;
    fixture.write(text);
    if (signalled)
    {
        fixture.reload->reload();
    }
    else
    {
        fixture.timers.advance(5s);
    }
    CHECK(fixture.addresses == std::vector<std::string>{"127.0.0.1:1"});
    fixture.write(settings_with("127.0.0.1:3"));
    fixture.reload->reload();
    CHECK(fixture.addresses == std::vector<std::string>{"127.0.0.1:3"});
}

// Guards against a process that ends because its file is not there while it is being replaced.
TEST_CASE("a settings file that is missing or a directory leaves the process as it is")
{
    const bool directory = GENERATE(true, false);
    reload_fixture fixture;
    std::filesystem::remove(fixture.path);
    if (directory)
    {
        std::filesystem::create_directory(fixture.path);
    }
    fixture.reload->reload();
    CHECK(fixture.addresses == std::vector<std::string>{"127.0.0.1:1"});
}

// Guards against a process that ends because new settings fail to be applied.
TEST_CASE("an error while settings are applied leaves the process running")
{
    reload_fixture fixture;
    const auto loaded = runtime::load_settings(fixture.path);
    REQUIRE(loaded);
    int calls = 0;
    settings_reload failing(
        {.timers = &fixture.timers,
         .path = fixture.path,
         .current = loaded.value(),
         .apply = [&](const runtime::settings&) -> std::vector<std::string>
         {
             ++calls;
             throw std::runtime_error("not applicable");
         }});
    for (int signal = 0; signal < 100; ++signal)
    {
        failing.reload();
    }
    CHECK(calls == 100);
}
