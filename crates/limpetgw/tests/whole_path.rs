//! A request through separate processes, from caller to engine and back.

use harness::{Fleet, FleetPlan, Outcome, Question};
use rstest::rstest;

type Checked = Result<(), Box<dyn std::error::Error>>;

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
fn an_answer_arrives_whole(#[case] stream: bool) -> Checked {
    smol::block_on(async {
        let fleet = Fleet::start(FleetPlan::builder().engines(2).build()).await?;
        let question = Question {
            stream,
            ..Question::streamed("how worn are the burrs? [len=40]")
        };

        let reply = fleet.caller(0).ask(&question).await;

        assert_eq!(reply.outcome, Outcome::Whole { tokens: 40 }, "{reply:?}");
        Ok(())
    })
}
