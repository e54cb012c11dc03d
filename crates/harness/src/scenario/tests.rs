use super::*;
use proptest::prelude::*;

#[test]
fn every_error_of_a_scenario_is_reported_with_its_position() {
    let text = "fleet {\n routers 1\n caches x\n}\nfaults {\n at 1s for 2s slow caches 1/8\n \
                at 1s silent all 3\n \
                at 2s for 1s datagrams lost 130%\n}\nmust {\n peek 1.25\n}\n";
    let (_, faults) = read_text(text);
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(messages.len(), 6, "{messages:#?}");
    assert!(
        messages[0].starts_with("2:10:") && messages[1].starts_with("3:9:"),
        "{messages:#?}"
    );
    assert!(
        messages[3].contains("\"all\" is not caches"),
        "{messages:#?}"
    );
    assert!(messages[5].contains("; peak is"), "{messages:#?}");
}

#[test]
fn faults_are_parsed() {
    let text = "faults {\n at 5s for 4s silent caches 3 to routers 1/4\n at 1s kill routers 70%\n \
                at 2s over 7s \
                replace caches 3/10\n at 1s shift location 0 to 3\n}\n";
    let (scenario, faults) = read_text(text);
    assert_eq!(faults, []);
    let kinds: Vec<FaultKind> = scenario.faults.iter().map(|f| f.kind).collect();
    assert_eq!(
        kinds[0],
        FaultKind::Apart(Target::Caches(Amount::Count(3)), Amount::Share(0.25))
    );
    assert_eq!(
        kinds[1],
        FaultKind::Kill(Target::Routers(Amount::Share(0.7)))
    );
    assert_eq!(kinds[3], FaultKind::Shift(0, 3));
    assert_eq!(
        scenario.second_measurement_start(),
        Duration::from_secs(9),
        "the fault that lasts to the end starts at 5 s"
    );
    assert!(scenario.inconsistencies().is_empty());
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_panic(text in any::<String>()) {
        let _ = read_text(&format!("faults {{\nat {text}\n}}\n"));
        let _ = read_text(&text);
    }

    #[test]
    fn an_amount_selects_at_least_one_and_at_most_all(
        share in 0.0f64..1.0, count in 1usize..1000, whole in 1usize..1000,
    ) {
        for part in [Amount::Share(share), Amount::Count(count)] {
            prop_assert!((1..=whole).contains(&part.of(whole)));
        }
    }
}
