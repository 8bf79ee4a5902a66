//! Orders run at most once, whatever fails. The service's ledger is the judge.

use std::{collections::BTreeMap, time::Duration};

use harness::{
    args, default_document, Caller, Cluster, ClusterPlan, Ledger, Outcome, Reply, ServiceCall,
    SERVICE_ROUTE,
};
use rstest::rstest;
use smol::Timer;
use types::{ErrorCode, Verdict};

type Checked = Result<(), Box<dyn std::error::Error>>;

/// Orders that are submitted while things fail.
const ORDERS: usize = 48;
/// Time between two new orders.
const ORDER_GAP: Duration = Duration::from_millis(60);
/// Submissions of one order at most.
const SUBMISSIONS_MAX: usize = 48;
/// Pause before an order is submitted again.
const AGAIN_PAUSE: Duration = Duration::from_millis(250);
/// Patience of a caller.
const PATIENCE: Duration = Duration::from_secs(3);

/// Deadline of an order, in milliseconds. A claim whose owner died is told as
/// in progress for this long and the clocks' allowance, then as unknown.
const DEADLINE_MS: u64 = 2_500;

/// What fails during the orders.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    EntryKilled,
    AgentKilled,
    ServiceKilled,
    ServiceCrashesAfterStart,
    ServiceLosesAnswers,
    ServiceCrosses,
    ServiceTruncates,
    AgentFrozen,
    StoreDown,
    StoreLosesAnswers,
    StoreDownAndEntryKilled,
}

fn order(key: &str) -> ServiceCall {
    let body = format!(r#"{{"part":"burr","for":"{key}"}}"#);
    ServiceCall::at_most_once(SERVICE_ROUTE, "/orders/new", &body, key)
}

async fn fleet() -> Result<Cluster, harness::HarnessError> {
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

/// Whether the caller of an order has nothing left to do.
fn is_settled(outcome: &Outcome) -> bool {
    outcome.is_complete() || outcome.is_refused_with(ErrorCode::OutcomeUnknown)
}

/// Submits an order through one entry after the other until it is settled.
async fn submit(callers: [Caller; 2], key: String, first: usize) -> (String, Vec<Reply>) {
    let mut replies = Vec::new();
    for turn in 0..SUBMISSIONS_MAX {
        let reply = callers[(first + turn) % 2].call(&order(&key)).await;
        let settled = is_settled(&reply.outcome);
        replies.push(reply);
        if settled {
            break;
        }
        Timer::after(AGAIN_PAUSE).await;
    }
    (key, replies)
}

/// Starts the orders one after the other; each goes on by itself.
async fn submit_all(callers: [Caller; 2]) -> BTreeMap<String, Vec<Reply>> {
    let mut tasks = Vec::new();
    for number in 0..ORDERS {
        let key = format!("order-{number}");
        tasks.push(smol::spawn(submit(callers.clone(), key, number)));
        Timer::after(ORDER_GAP).await;
    }
    let mut replies = BTreeMap::new();
    for task in tasks {
        let (key, told) = task.await;
        replies.insert(key, told);
    }
    replies
}

async fn pause(pause_ms: u64) {
    Timer::after(Duration::from_millis(pause_ms)).await;
}

async fn kill_and_restart(fleet: &mut Cluster, name: &str) -> Checked {
    fleet.kill(name)?;
    pause(300).await;
    fleet.restart(name).await?;
    pause(400).await;
    Ok(())
}

async fn with_faults(fleet: &Cluster, name: &str, faults: &str, for_ms: u64) -> Checked {
    fleet.set_faults(name, faults).await?;
    pause(for_ms).await;
    fleet.set_faults(name, "{}").await?;
    Ok(())
}

async fn make(trouble: Trouble, fleet: &mut Cluster) -> Checked {
    pause(400).await;
    match trouble {
        Trouble::EntryKilled => {
            kill_and_restart(fleet, "entry-0").await?;
            kill_and_restart(fleet, "entry-1").await
        }
        Trouble::AgentKilled => {
            kill_and_restart(fleet, "service-agent-0").await?;
            kill_and_restart(fleet, "service-agent-1").await
        }
        Trouble::ServiceKilled => {
            kill_and_restart(fleet, "service-0").await?;
            kill_and_restart(fleet, "service-1").await
        }
        Trouble::ServiceCrashesAfterStart => {
            fleet
                .set_faults("service-0", r#"{"crash_after_start":true}"#)
                .await?;
            pause(1_000).await;
            fleet.restart_crashed().await?;
            Ok(())
        }
        Trouble::ServiceLosesAnswers => {
            with_faults(fleet, "service-0", r#"{"lose_answers":true}"#, 1_000).await
        }
        Trouble::ServiceCrosses => {
            with_faults(fleet, "service-0", r#"{"crossed":true}"#, 1_000).await
        }
        Trouble::ServiceTruncates => {
            with_faults(fleet, "service-0", r#"{"truncate":true}"#, 1_000).await
        }
        Trouble::AgentFrozen => {
            fleet.freeze("service-agent-0")?;
            pause(1_500).await;
            fleet.thaw("service-agent-0")?;
            Ok(())
        }
        Trouble::StoreDown => {
            let faults = r#"{"down":true,"only_kind":"claim"}"#;
            with_faults(fleet, "platform", faults, 1_200).await
        }
        Trouble::StoreLosesAnswers => {
            let faults = r#"{"lose_answers":true,"only_kind":"claim"}"#;
            with_faults(fleet, "platform", faults, 1_200).await
        }
        Trouble::StoreDownAndEntryKilled => {
            fleet.set_faults("platform", r#"{"down":true}"#).await?;
            fleet.kill("entry-0")?;
            pause(800).await;
            fleet.set_faults("platform", "{}").await?;
            fleet.restart("entry-0").await?;
            Ok(())
        }
    }
}

/// What must hold whatever failed.
fn judge(ledger: &Ledger, replies: &BTreeMap<String, Vec<Reply>>) {
    for (key, told) in replies {
        let runs: Vec<_> = ledger.runs_of_key(key).collect();
        assert!(runs.len() <= 1, "{key} ran {} times: {told:?}", runs.len());
        for reply in told {
            assert!(!reply.outcome.is_wrong(), "{key}: {reply:?}");
            if reply.outcome.is_complete() {
                assert!(runs.iter().all(|run| run.finished), "{key}: {reply:?}");
                assert_eq!(runs.len(), 1, "{key} was answered and never ran");
            }
            let ran = runs.iter().any(|run| run.request_id == reply.request_id);
            let told_not_run = reply.outcome.verdict() == Some(Verdict::NotRun);
            assert!(!(ran && told_not_run), "{key} ran: {reply:?}");
        }
        let last = told.last().map(|reply| &reply.outcome);
        assert!(last.is_some_and(is_settled), "{key}: {told:?}");
    }
}

#[rstest]
#[case::entry_killed(Trouble::EntryKilled)]
#[case::agent_killed(Trouble::AgentKilled)]
#[case::service_killed(Trouble::ServiceKilled)]
#[case::service_crashes_after_start(Trouble::ServiceCrashesAfterStart)]
#[case::service_loses_answers(Trouble::ServiceLosesAnswers)]
#[case::service_crosses_answers(Trouble::ServiceCrosses)]
#[case::service_truncates_answers(Trouble::ServiceTruncates)]
#[case::agent_frozen(Trouble::AgentFrozen)]
#[case::store_down(Trouble::StoreDown)]
#[case::store_loses_answers(Trouble::StoreLosesAnswers)]
#[case::store_down_and_entry_killed(Trouble::StoreDownAndEntryKilled)]
fn no_order_runs_twice(#[case] trouble: Trouble) -> Checked {
    smol::block_on(async {
        let mut fleet = fleet().await?;
        let callers = [0, 1].map(|entry| fleet.caller(entry).with_timeout(PATIENCE));

        let orders = smol::spawn(submit_all(callers.clone()));
        make(trouble, &mut fleet).await?;
        let replies = orders.await;
        let afterwards = submit(callers, "afterwards".into(), 0).await;

        judge(&fleet.ledger(), &replies);
        let last = afterwards.1.last().map(|reply| &reply.outcome);
        assert_eq!(
            last,
            Some(&Outcome::Complete { tokens: 0 }),
            "{afterwards:?}"
        );
        let whole = replies
            .values()
            .filter(|told| told.iter().any(|reply| reply.outcome.is_complete()));
        assert!(whole.count() > ORDERS / 4, "hardly an order got through");
        Ok(())
    })
}

#[rstest]
fn a_store_outage_is_told_as_not_run_with_a_time_to_try_again() -> Checked {
    smol::block_on(async {
        let mut fleet = fleet().await?;
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
