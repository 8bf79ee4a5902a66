//! Tests that at-most-once requests run at most once under failures of any
//! component. The service's ledger records how often each request ran.

use std::{collections::BTreeMap, time::Duration};

use harness::{
    args, default_document, Caller, Cluster, ClusterPlan, Ledger, Outcome, Reply, ServiceCall,
    SERVICE_ROUTE,
};
use rstest::rstest;
use smol::Timer;
use types::{ErrorCode, Verdict};

type TestResult = Result<(), Box<dyn std::error::Error>>;

/// Number of orders submitted while the failure is injected.
const ORDERS: usize = 48;
/// Interval between the first submissions of consecutive orders.
const ORDER_GAP: Duration = Duration::from_millis(60);
/// Maximum number of submissions of one order.
const SUBMISSIONS_MAX: usize = 48;
/// Delay before an order is submitted again.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Timeout of a caller for one submission.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Deadline of an order, in milliseconds. The claim of a crashed owner is
/// reported as in progress for the deadline plus the allowance for clock
/// differences, and as having an unknown outcome after that.
const DEADLINE_MS: u64 = 2_500;

/// Failure injected while the orders are submitted.
#[derive(Clone, Copy, Debug)]
enum Failure {
    EntryKilled,
    AgentKilled,
    ServiceKilled,
    ServiceCrashesAfterStart,
    ServiceDropsResponses,
    ServiceSwapsResponses,
    ServiceTruncatesResponses,
    AgentFrozen,
    StoreDown,
    StoreDropsResponses,
    StoreDownAndEntryKilled,
}

fn order(key: &str) -> ServiceCall {
    let body = format!(r#"{{"part":"burr","for":"{key}"}}"#);
    ServiceCall::at_most_once(SERVICE_ROUTE, "/orders/new", &body, key)
}

async fn start_fleet() -> Result<Cluster, harness::HarnessError> {
    let mut document = default_document();
    if let Some(class) = document.classes.get_mut("standard") {
        class.deadline_ms = DEADLINE_MS;
    }
    let plan = ClusterPlan::builder()
        .document(document)
        .entries(2)
        .engines(0)
        .services(2)
        .service_args(args("--work-ms 150"))
        .build();
    Cluster::start(plan).await
}

/// Returns whether the outcome of an order is final for its caller.
fn is_final(outcome: &Outcome) -> bool {
    outcome.is_complete() || outcome.is_refused_with(ErrorCode::OutcomeUnknown)
}

/// Submits an order, alternating between the entries, until its outcome is
/// final.
async fn submit_until_final(
    callers: [Caller; 2],
    key: String,
    first: usize,
) -> (String, Vec<Reply>) {
    let mut replies = Vec::new();
    for attempt in 0..SUBMISSIONS_MAX {
        let reply = callers[(first + attempt) % 2].call(&order(&key)).await;
        let is_final_outcome = is_final(&reply.outcome);
        replies.push(reply);
        if is_final_outcome {
            break;
        }
        Timer::after(RETRY_DELAY).await;
    }
    (key, replies)
}

/// Starts an order every [`ORDER_GAP`] and waits for all of them.
async fn submit_all(callers: [Caller; 2]) -> BTreeMap<String, Vec<Reply>> {
    let mut tasks = Vec::new();
    for number in 0..ORDERS {
        let key = format!("order-{number}");
        tasks.push(smol::spawn(submit_until_final(
            callers.clone(),
            key,
            number,
        )));
        Timer::after(ORDER_GAP).await;
    }
    let mut replies = BTreeMap::new();
    for task in tasks {
        let (key, order_replies) = task.await;
        replies.insert(key, order_replies);
    }
    replies
}

async fn sleep_ms(duration_ms: u64) {
    Timer::after(Duration::from_millis(duration_ms)).await;
}

async fn kill_and_restart(fleet: &mut Cluster, name: &str) -> TestResult {
    fleet.kill(name)?;
    sleep_ms(300).await;
    fleet.restart(name).await?;
    sleep_ms(400).await;
    Ok(())
}

async fn set_faults_for(fleet: &Cluster, name: &str, faults: &str, for_ms: u64) -> TestResult {
    fleet.set_faults(name, faults).await?;
    sleep_ms(for_ms).await;
    fleet.set_faults(name, "{}").await?;
    Ok(())
}

async fn inject(failure: Failure, fleet: &mut Cluster) -> TestResult {
    sleep_ms(400).await;
    match failure {
        Failure::EntryKilled => {
            kill_and_restart(fleet, "entry-0").await?;
            kill_and_restart(fleet, "entry-1").await
        }
        Failure::AgentKilled => {
            kill_and_restart(fleet, "service-agent-0").await?;
            kill_and_restart(fleet, "service-agent-1").await
        }
        Failure::ServiceKilled => {
            kill_and_restart(fleet, "service-0").await?;
            kill_and_restart(fleet, "service-1").await
        }
        Failure::ServiceCrashesAfterStart => {
            fleet
                .set_faults("service-0", r#"{"crash_after_start":true}"#)
                .await?;
            sleep_ms(1_000).await;
            fleet.restart_crashed().await?;
            Ok(())
        }
        Failure::ServiceDropsResponses => {
            set_faults_for(fleet, "service-0", r#"{"lose_answers":true}"#, 1_000).await
        }
        Failure::ServiceSwapsResponses => {
            set_faults_for(fleet, "service-0", r#"{"crossed":true}"#, 1_000).await
        }
        Failure::ServiceTruncatesResponses => {
            set_faults_for(fleet, "service-0", r#"{"truncate":true}"#, 1_000).await
        }
        Failure::AgentFrozen => {
            fleet.freeze("service-agent-0")?;
            sleep_ms(1_500).await;
            fleet.thaw("service-agent-0")?;
            Ok(())
        }
        Failure::StoreDown => {
            let faults = r#"{"down":true,"only_kind":"claim"}"#;
            set_faults_for(fleet, "platform", faults, 1_200).await
        }
        Failure::StoreDropsResponses => {
            let faults = r#"{"lose_answers":true,"only_kind":"claim"}"#;
            set_faults_for(fleet, "platform", faults, 1_200).await
        }
        Failure::StoreDownAndEntryKilled => {
            fleet.set_faults("platform", r#"{"down":true}"#).await?;
            fleet.kill("entry-0")?;
            sleep_ms(800).await;
            fleet.set_faults("platform", "{}").await?;
            fleet.restart("entry-0").await?;
            Ok(())
        }
    }
}

/// Checks that no order ran twice, that complete responses and verdicts agree
/// with the ledger, and that every outcome is final.
fn check_ledger(ledger: &Ledger, replies: &BTreeMap<String, Vec<Reply>>) {
    for (key, order_replies) in replies {
        let runs: Vec<_> = ledger.runs_of_key(key).collect();
        assert!(
            runs.len() <= 1,
            "{key} ran {} times: {order_replies:?}",
            runs.len()
        );
        for reply in order_replies {
            assert!(!reply.outcome.is_wrong(), "{key}: {reply:?}");
            if reply.outcome.is_complete() {
                assert!(runs.iter().all(|run| run.finished), "{key}: {reply:?}");
                assert_eq!(runs.len(), 1, "{key} was answered but never ran");
            }
            let ran = runs.iter().any(|run| run.request_id == reply.request_id);
            let reported_not_run = reply.outcome.verdict() == Some(Verdict::NotRun);
            assert!(!(ran && reported_not_run), "{key} ran: {reply:?}");
        }
        let last = order_replies.last().map(|reply| &reply.outcome);
        assert!(last.is_some_and(is_final), "{key}: {order_replies:?}");
    }
}

#[rstest]
#[case::entry_killed(Failure::EntryKilled)]
#[case::agent_killed(Failure::AgentKilled)]
#[case::service_killed(Failure::ServiceKilled)]
#[case::service_crashes_after_start(Failure::ServiceCrashesAfterStart)]
#[case::service_drops_responses(Failure::ServiceDropsResponses)]
#[case::service_swaps_responses(Failure::ServiceSwapsResponses)]
#[case::service_truncates_responses(Failure::ServiceTruncatesResponses)]
#[case::agent_frozen(Failure::AgentFrozen)]
#[case::store_down(Failure::StoreDown)]
#[case::store_drops_responses(Failure::StoreDropsResponses)]
#[case::store_down_and_entry_killed(Failure::StoreDownAndEntryKilled)]
fn orders_run_at_most_once_under_failures(#[case] failure: Failure) -> TestResult {
    smol::block_on(async {
        let mut fleet = start_fleet().await?;
        let callers = [0, 1].map(|entry| fleet.caller(entry).with_timeout(CALLER_TIMEOUT));

        let orders = smol::spawn(submit_all(callers.clone()));
        inject(failure, &mut fleet).await?;
        let replies = orders.await;
        let after_recovery = submit_until_final(callers, "afterwards".into(), 0).await;

        check_ledger(&fleet.ledger(), &replies);
        let last = after_recovery.1.last().map(|reply| &reply.outcome);
        assert_eq!(
            last,
            Some(&Outcome::Complete { tokens: 0 }),
            "{after_recovery:?}"
        );
        let completed = replies.values().filter(|order_replies| {
            order_replies
                .iter()
                .any(|reply| reply.outcome.is_complete())
        });
        assert!(
            completed.count() > ORDERS / 4,
            "at most a quarter of the orders were completed"
        );
        Ok(())
    })
}

#[rstest]
fn store_outage_returns_not_run_and_retry_after() -> TestResult {
    smol::block_on(async {
        let mut fleet = start_fleet().await?;
        fleet.set_faults("platform", r#"{"down":true}"#).await?;

        let reply = fleet.caller(0).call(&order("order-1")).await;

        let Outcome::Refused {
            status,
            code,
            verdict,
            retry_after_ms,
        } = &reply.outcome
        else {
            panic!("{reply:?}");
        };
        assert_eq!(*status, 503);
        assert_eq!(*code, Some(ErrorCode::StoreUnavailable));
        assert_eq!(*verdict, Some(Verdict::NotRun));
        assert!(retry_after_ms.is_some());
        assert_eq!(fleet.ledger().runs_of_key("order-1").count(), 0);
        Ok(())
    })
}
