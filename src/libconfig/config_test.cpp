#include "lovagehold/declaration_merger.h"
#include "lovagehold/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace lovagehold {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using namespace std::chrono_literals;

std::vector<std::string>
lines(const std::vector<Mistake>& mistakes)
{
  std::vector<std::string> texts;
  texts.reserve(mistakes.size());
  for (const Mistake& mistake : mistakes) {
    texts.push_back(to_string(mistake));
  }
  return texts;
}

std::vector<std::string>
check(const std::string& content, const std::string& name = "1-a.yaml")
{
  return lines(merge_declarations({ { name, content } }).mistakes);
}

const char* const kValidSettings = R"(host: h1
failure_domain: d1
roles: [entry, control]
listen: {callers: "10.0.0.1:7080", cluster: "10.0.0.1:7081", admin: "10.0.0.1:7082"}
data_folder: /var/lib/lovagehold
control:
  - {id: h1, address: "10.0.0.1:7081"}
limits: {idle: 30s, connections: 500}
)";

// Guards against a check that stops at the first mistake.
TEST(Declarations, ReportsEveryMistakeOfAllFiles)
{
  const MergeOutcome outcome = merge_declarations(
    { { "2-b.yaml", "servces: {}\n" },
      { "1-a.yaml",
        "services:\n  a:\n    kinds:\n      k: {treat: urgnt, path: x, deadline: 5}\n" } });
  EXPECT_THAT(
    lines(outcome.mistakes),
    ElementsAre("1-a.yaml:4: services.a.kinds.k.treat: 'urgnt' is not one of urgent, patient, "
                "non-idempotent; did you mean 'urgent'?",
                "1-a.yaml:4: services.a.kinds.k.path: 'x' does not start with /; write /x",
                "1-a.yaml:4: services.a.kinds.k.deadline: '5' is not a duration; add the unit, for "
                "example 5ms or 5s",
                "2-b.yaml:1: servces: unknown key; did you mean 'services'?"));
}

// Guards against accepting a value that is out of range or of the wrong type.
TEST(Declarations, ChecksTypesAndRanges)
{
  EXPECT_THAT(
    check("services: {a: {probe_budget: 0.5}}"),
    ElementsAre("1-a.yaml:1: services.a.probe_budget: '0.5' is not a share above 0 and at "
                "most 0.05; write for example 0.002 for 0.2%"));
  EXPECT_EQ(check("services: {a: {error_budget: nan}}").size(), 1U);
  EXPECT_EQ(check("services: {a: {keep_outcomes: 90m}}").size(), 1U);
  EXPECT_EQ(check("services: {a: {keep_outcomes: 9999999999999999h}}").size(), 1U);
  EXPECT_EQ(check("services: {a: {kinds: {k: {deadline: 1s, deadline_ms: 5}}}}").size(), 1U);
  EXPECT_EQ(check("services: {a: {kinds: {k: {methods: [get]}}}}").size(), 1U);
  EXPECT_EQ(check("services: {a: {kinds: {k: {treat: non-idempotent, idempotent: true}}}}").size(),
            1U);
  EXPECT_EQ(check("services: {a b: {}}").size(), 1U);
  EXPECT_EQ(check("services: [a]").size(), 1U);
  EXPECT_EQ(check("services: {a: {probe_cost: }}").size(), 1U);
}

// Guards against silently dropping one of two values of the same key.
TEST(Declarations, ReportsDuplicates)
{
  EXPECT_THAT(check("services:\n  a: {}\n  a: {}\n"),
              ElementsAre("1-a.yaml:3: services.a: is given twice, first in line 2; remove one of "
                          "the two"));
  EXPECT_THAT(
    lines(merge_declarations({ { "1-a.yaml", "services: {}" }, { "01-b.yaml", "services: {}" } })
            .mistakes),
    ElementsAre("1-a.yaml: number 1 is also used by 01-b.yaml; rename one of the two; "
                "control accepts only one file for each number"));
  EXPECT_EQ(check("services: {a: {kinds: {x: {}, y: {}}}}").size(), 2U);
  EXPECT_EQ(check("services: {}", "a.yaml").size(), 1U);
}

// Guards against treating an invalid or empty file as one without declarations.
TEST(Declarations, RejectsInvalidYaml)
{
  EXPECT_EQ(check("services: {a: ").size(), 1U);
  EXPECT_EQ(check("# nothing\n").size(), 1U);
}

// Guards against lost or wrongly ordered overrides.
TEST(Declarations, MergesByNumberKeyByKey)
{
  DeclarationMerger merger;
  EXPECT_THAT(merger.add({ "1-a.yaml",
                           "services: {a: {keep_outcomes: 48h, kinds: {k: {treat: patient, "
                           "deadline: 250ms}, gone: {path: /x}}}, b: {}}" }),
              IsEmpty());
  EXPECT_THAT(
    merger.add({ "2-b.yaml", "services: {a: {kinds: {k: {deadline: 2s}, gone: null}}, b: null}" }),
    IsEmpty());
  const ServiceDeclaration& service = merger.configuration().services.at("a");
  ASSERT_EQ(service.kinds.size(), 1U);
  EXPECT_EQ(service.kinds[0].request_class, RequestClass::Patient);
  EXPECT_EQ(service.kinds[0].deadline, 2000ms);
  EXPECT_EQ(service.keep_outcomes, 48h);
  EXPECT_EQ(merger.configuration().services.count("b"), 0U);
  EXPECT_EQ(merger.origins().at("a").at("kinds.k.deadline"), "2-b.yaml");
  EXPECT_EQ(merger.origins().at("a").at("kinds.k.treat"), "1-a.yaml");
  EXPECT_TRUE(merges_before("9-z.yaml", "10-a.yaml"));
}

// Guards against a rejected file that is applied in part.
TEST(Declarations, RefusedFileChangesNothing)
{
  DeclarationMerger merger;
  EXPECT_THAT(merger.add({ "1-a.yaml", "services: {a: {kinds: {k: {treat: non-idempotent}}}}" }),
              IsEmpty());
  EXPECT_EQ(
    merger.add({ "2-b.yaml", "services: {a: {kinds: {k: {idempotent: true}}}, b: {}}" }).size(),
    1U);
  EXPECT_EQ(merger.configuration().services.count("b"), 0U);
  EXPECT_FALSE(merger.configuration().services.at("a").kinds[0].idempotent);
}

// Guards against valid settings being rejected or misread.
TEST(ProcessSettings, ReadsAllKeys)
{
  const SettingsOutcome outcome = parse_settings("s.yaml", kValidSettings);
  EXPECT_THAT(lines(outcome.mistakes), IsEmpty());
  EXPECT_TRUE(outcome.settings.entry_role && outcome.settings.control_role);
  EXPECT_EQ(outcome.settings.limits.idle, 30s);
  EXPECT_EQ(outcome.settings.limits.connections, 500U);
  EXPECT_EQ(outcome.settings.control_peers.size(), 1U);
}

// Guards against a process that starts with unusable settings.
TEST(ProcessSettings, ReportsEveryMistake)
{
  EXPECT_THAT(
    lines(parse_settings("s.yaml",
                         "host: h1\nroles: [control]\nlisten: {cluster: \"localhost:7081\", admim: "
                         "\"10.0.0.1:7082\"}\nthreads: 0\ncontrol:\n  - {id: h2, address: "
                         "\"10.0.0.2:7081\"}\n")
            .mistakes),
    ElementsAre(
      "s.yaml:3: listen.cluster: 'localhost:7081' is not an IP:port address; write an IP address "
      "and a port, for example 10.0.0.5:7080; names are not resolved",
      "s.yaml:3: listen.admim: unknown key; did you mean 'admin'?",
      "s.yaml:4: threads: '0' is not a whole number from 1 to 64; write a number in this range",
      "s.yaml:1: failure_domain: is missing; name the zone of this host, for example "
      "'failure_domain: domain-1'",
      "s.yaml:1: listen.admin: is missing; write the IP:port that lovagectl uses",
      "s.yaml:1: data_folder: is missing; name a folder on a disk; the role control keeps its log "
      "there",
      "s.yaml:6: control: does not list this host 'h1', which has the role control; add {id: h1, "
      "address: \"IP:port\"} or remove the role"));
}

} // namespace
} // namespace lovagehold
