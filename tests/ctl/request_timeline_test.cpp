#include "ctl/request_timeline.hpp"

#include <CppUTest/TestHarness.h>

using namespace samphire;

TEST_GROUP(request_timeline)
{
    request_timeline timeline{"a1"};

    void add(char const* text)
    {
        timeline.add_log(text, "entry.log");
    }
};

// Guards against a refusal that is explained by the line of another attempt.
TEST(request_timeline, refused_request_is_explained_by_its_reason)
{
    add("at_ms=10 level=info channel=relay event=started daemon=d\n"
        "at_ms=20 level=warning channel=relay event=request_failed attempt=a1 "
        "reason=overloaded service=slots status=503 tries=0\n"
        "at_ms=21 level=warning channel=relay event=request_failed attempt=a2 "
        "reason=expired service=slots status=503\n");
    STRCMP_EQUAL(
        "20 entry.log attempt=a1 event=request_failed reason=overloaded "
        "service=slots status=503 tries=0\n"
        "cause: request_failed status=503 reason=overloaded: a service that it "
        "needs had no free capacity; it was not run\n",
        timeline.text().c_str());
}

// Guards against a failed call that is missing from the cause, and against an
// attempt whose id only begins with the same characters.
TEST(request_timeline, failed_call_is_named_after_the_cause)
{
    add("at_ms=30 event=request_answered attempt=a1 reason=none status=500\n"
        "at_ms=25 event=request_failed attempt=a1.7 reason=expired "
        "service=deep status=503\n"
        "at_ms=26 event=request_failed attempt=a10 reason=expired "
        "status=503\n");
    std::string const text = timeline.text();
    CHECK(text.find("a10") == std::string::npos);
    CHECK(text.find("at_ms") == std::string::npos);
    STRCMP_CONTAINS(
        "status=500 reason=none: the upstream's own answer", text.c_str());
    STRCMP_CONTAINS("call: a1.7 to service=deep reason=expired", text.c_str());
    CHECK(text.find("25 ") < text.find("30 "));
}

// Guards against a lost connection that is missing from the timeline, and
// against one that another daemon logged.
TEST(request_timeline, lost_peer_of_the_same_daemon_is_shown)
{
    add("31.6 vm-3 at_ms=31000 event=request_failed attempt=a1 "
        "reason=guard_lost peer=10.2.0.21:7640 status=502\n"
        "30.9 vm-3 at_ms=30900 event=peer_lost peer=10.2.0.21:7640\n"
        "31.6 vm-4 at_ms=30900 event=peer_lost peer=10.9.9.9:7640\n");
    std::string const text = timeline.text();
    STRCMP_CONTAINS("event=peer_lost peer=10.2.0.21:7640", text.c_str());
    CHECK(text.find("10.9.9.9") == std::string::npos);
}

// Guards against a timeline of lines that are no log lines.
TEST(request_timeline, unknown_id_gives_empty_text)
{
    add("not a log line\nat_ms=x event=e\nat_ms=5\n");
    CHECK(timeline.text().empty());
}

// Guards against a quoted value that is cut or read as further fields.
TEST(request_timeline, quoted_value_may_contain_spaces_and_equals_signs)
{
    auto const record =
        parse_log_line("at_ms=5 event=e defect=\"a = b\" reason=r", "f");
    CHECK(record.has_value());
    STRCMP_EQUAL("a = b", std::string(record->field("defect")).c_str());
    STRCMP_EQUAL("r", std::string(record->field("reason")).c_str());
}
